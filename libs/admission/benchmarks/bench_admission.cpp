#include "admission/upstream_admission.h"

#include <benchmark/benchmark.h>

using namespace banyancroft;
using namespace banyancroft::admission;
using namespace std::chrono_literals;

namespace {

/** Admits and finishes one request while the given number of other requests is queued. */
void admitAndFinish(benchmark::State& state)
{
    UpstreamAdmission admission({ 3, 1, 8 }, 512);
    std::vector<Refusal> refused;
    TimePoint now { 1h };
    admission.setAuthority({ Share::Full, now + 1h }, now, refused);
    const UpstreamAnswer answer { "boot-1", true, false, false, 400us };
    for (int count = 0; count < 16; ++count)
        admission.observeAnswer(answer, now, refused);
    RequestHandle request = 0;
    for (; request < static_cast<RequestHandle>(state.range(0)); ++request)
        admission.offer(request, now + 1h, now, refused);
    for (auto _ : state) {
        // Deadlines vary, so that new entries are inserted at different positions of the queue.
        ++request;
        benchmark::DoNotOptimize(admission.offer(request, now + 150ms + (request % 64) * 1ms, now, refused));
        benchmark::DoNotOptimize(admission.start(ConnectionTrust::Verified, now, refused));
        admission.observeAnswer(answer, now, refused);
        admission.finish(ConnectionTrust::Verified);
    }
    if (!refused.empty() || admission.queued() != state.range(0))
        state.SkipWithError("a request was refused, so the measured time is not that of an admission");
}
BENCHMARK(admitAndFinish)->Arg(0)->Arg(16)->Arg(128);

} // namespace
