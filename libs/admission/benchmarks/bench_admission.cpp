#include "admission/upstream_admission.h"

#include <benchmark/benchmark.h>

using namespace banyancroft;
using namespace banyancroft::admission;
using namespace std::chrono_literals;

namespace {

/** One request from offer to answer, with the given number of others in the queue. */
void admitAndFinish(benchmark::State& state)
{
    UpstreamAdmission admission({ 3, 1, 8 }, 512);
    std::vector<Refusal> refused;
    TimePoint now { 1h };
    admission.setAuthority({ Share::Full, now + 1h }, now, refused);
    const UpstreamAnswer answer { "boot-1", true, false, false, 400us };
    for (int count = 0; count < 16; ++count)
        admission.answered(answer, now, refused);
    WorkId work = 0;
    for (; work < static_cast<WorkId>(state.range(0)); ++work)
        admission.offer(work, now + 1h, now, refused);
    for (auto _ : state) {
        // Deadlines differ, so that a new entry is not always the last one.
        ++work;
        benchmark::DoNotOptimize(admission.offer(work, now + 150ms + (work % 64) * 1ms, now, refused));
        benchmark::DoNotOptimize(admission.start(Trust::Verified, now, refused));
        admission.answered(answer, now, refused);
        admission.finish(Trust::Verified);
    }
    if (!refused.empty() || admission.queued() != state.range(0))
        state.SkipWithError("work was refused; the figure is not that of an admission");
}
BENCHMARK(admitAndFinish)->Arg(0)->Arg(16)->Arg(128);

} // namespace
