// Processor time that one daemon spends on membership, by number of members of its zone, and size of the
// view.

#include "membership/membership.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace banyancroft;
using namespace banyancroft::membership;

namespace {

constexpr int upstreamsPerMember = 8;

std::string name(std::int64_t number) { return "entry-luzon-a-" + std::to_string(number); }

View viewOf(std::int64_t count)
{
    View view;
    view.zone = AvailabilityZone("luzon-a");
    view.number = { 1000 };
    for (std::int64_t i = 0; i < count; ++i) {
        const Incarnation incarnation { 0x9e3779b97f4a7c15ULL * static_cast<std::uint64_t>(i + 1) };
        view.members.push_back({ VmId(name(i)), incarnation, "10.1.2.3:7946", { 1 }, true });
        view.settled.emplace_back(name(i));
    }
    return view;
}

std::vector<UpstreamId> upstreamsOf(std::int64_t count)
{
    std::vector<UpstreamId> upstreams;
    for (std::int64_t i = 0; i < count * upstreamsPerMember; ++i)
        upstreams.emplace_back("dispatch-desk-" + std::to_string(i) + "-a");
    return upstreams;
}

/** One daemon with a store that answers at once. */
class SimulatedMember {
public:
    explicit SimulatedMember(std::int64_t count)
        : view_(viewOf(count))
        , membership_(settings(), now_)
    {
        for (const Member& member : view_.members) {
            records_.push_back(
                { { member.vm, member.incarnation, member.address, view_.number, Intent::Join, true, {} },
                    { 2 } });
        }
        perform(membership_.setUpstreams(upstreamsOf(count), now_));
        for (int i = 0; i < 300; ++i)
            tick();
    }

    void tick()
    {
        now_ += std::chrono::milliseconds(100);
        perform(membership_.tick(now_));
    }

    /** Replaces a member, which gives a new view that is acknowledged by all. */
    void changeView()
    {
        view_.number.value += 1;
        view_.lastRemoval = view_.number;
        view_.members.back().incarnation.value += 1;
        view_.members.back().joined = view_.number;
        for (std::size_t i = 0; i < records_.size(); ++i) {
            records_[i].record.acknowledged = view_.number;
            records_[i].record.incarnation = view_.members[i].incarnation;
        }
        perform(membership_.viewChanged(view_, { ++revision_ }, now_));
    }

private:
    static Settings settings()
    {
        Settings result;
        result.zone = AvailabilityZone("luzon-a");
        result.vm = VmId(name(0));
        result.incarnation = viewOf(1).members.front().incarnation;
        result.address = "10.1.2.3:7946";
        return result;
    }

    void perform(const Actions& actions)
    {
        for (const Action& action : actions)
            std::visit([&](const auto& value) { act(value); }, action);
    }

    void act(const AcquireLease& action) { perform(membership_.leaseGranted(action.request, now_)); }
    void act(const RenewLease& action) { perform(membership_.leaseRenewed(action.request, now_)); }
    void act(const ReadView& action)
    {
        perform(membership_.viewRead(action.request, view_, { revision_ }, now_));
    }
    void act(const SwapView& action) { perform(membership_.swapped(action.request, std::nullopt, now_)); }
    void act(const WriteRecord& action)
    {
        perform(membership_.recordWritten(action.request, StoreRevision { ++revision_ }, now_));
    }
    void act(const ListMembers& action)
    {
        perform(membership_.membersListed(action.request, records_, { revision_ }, now_));
    }
    void act(const ReportInFlight& action) { perform(membership_.inFlightReported(action.view, {}, now_)); }
    template <typename Other> void act(const Other&) { }

    TimePoint now_ { std::chrono::hours(1) };
    std::uint64_t revision_ = 10;
    View view_;
    std::vector<ListedRecord> records_;
    Membership membership_;
};

void steadySecond(benchmark::State& state)
{
    SimulatedMember member(state.range(0));
    for (auto _ : state) {
        for (int i = 0; i < 10; ++i)
            member.tick();
    }
}

void viewChange(benchmark::State& state)
{
    SimulatedMember member(state.range(0));
    for (auto _ : state)
        member.changeView();
}

void printAndParse(benchmark::State& state)
{
    const View view = viewOf(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state) {
        Error reason;
        const std::string text = serialize(view);
        bytes = text.size();
        benchmark::DoNotOptimize(parseView(text, reason));
    }
    state.counters["bytes_per_member"] = static_cast<double>(bytes) / static_cast<double>(state.range(0));
}

void home(benchmark::State& state)
{
    const View view = viewOf(state.range(0));
    const UpstreamId upstream("dispatch-desk-17-a");
    for (auto _ : state)
        benchmark::DoNotOptimize(homeOf(upstream, view));
}

} // namespace

#define MEMBER_COUNTS Arg(8)->Arg(70)->Arg(140)->Arg(560)
BENCHMARK(steadySecond)->MEMBER_COUNTS->Unit(benchmark::kMicrosecond);
BENCHMARK(viewChange)->MEMBER_COUNTS->Unit(benchmark::kMicrosecond);
BENCHMARK(printAndParse)->MEMBER_COUNTS->Unit(benchmark::kMicrosecond);
BENCHMARK(home)->MEMBER_COUNTS;
BENCHMARK_MAIN();
