#include "rollout_writer.h"

#include "sync_sources.h"
#include "telemetry/log.h"
#include "json/bounded_parser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace banyancroft::gateway {

namespace {

using Json = nlohmann::json;
using telemetry::log;
using telemetry::LogLevel;

/** Interval at which the driver collects the samples of the other VMs. */
constexpr Duration collectionInterval = std::chrono::milliseconds(500);
/** Peers answer from memory. */
constexpr Duration peerTimeout = std::chrono::milliseconds(500);
constexpr unsigned statusOk = 200;

std::string rankName(const ServiceId& service) { return "rollout/" + service.str(); }

/**
 * Adds the samples since the totals that were merged last; the first totals of a VM are only noted.
 * @return number of added samples
 */
std::uint64_t mergeTotals(ServiceRollout& rollout, const VmId& vm,
    const std::map<rollout::SampleGroup, rollout::SampleCounts>& totals, TimePoint now)
{
    std::uint64_t added = 0;
    const bool isFirst = !rollout.merged.contains(vm);
    auto& merged = rollout.merged[vm];
    for (const auto& [group, total] : totals) {
        auto& known = merged[group];
        // A restarted VM counts from zero.
        const bool isRestarted = total.target < known.target || total.other < known.other
            || total.targetBad < known.targetBad || total.otherBad < known.otherBad;
        if (!isFirst && !isRestarted) {
            added += total.target - known.target + total.other - known.other;
            rollout.fleet->merge(group,
                { total.target - known.target, total.targetBad - known.targetBad, total.other - known.other,
                    total.otherBad - known.otherBad },
                now);
        }
        known = total;
    }
    return added;
}

} // namespace

RolloutWriter::RolloutWriter(boost::asio::io_context& ioContext, TrafficManager& traffic,
    const MemberTracker& members, store::PolledStore& store, const StoreLayout& layout,
    telemetry::Metrics& metrics)
    : ioContext_(ioContext)
    , traffic_(traffic)
    , members_(members)
    , store_(store)
    , layout_(layout)
    , completed_(metrics.counter("banyancroft_rollout_completed_total", "Roll-outs this VM has completed"))
    , rolledBackForFailures_(metrics.counter("banyancroft_rollout_rolled_back_failures_total",
          "Roll-outs this VM has rolled back because answers failed"))
    , rolledBackForLatency_(metrics.counter("banyancroft_rollout_rolled_back_latency_total",
          "Roll-outs this VM has rolled back because answers were slow"))
    , rolledBackOtherwise_(metrics.counter("banyancroft_rollout_rolled_back_other_total",
          "Roll-outs this VM has rolled back because of the deadline or a withdrawn order"))
    , writesFailed_(metrics.counter("banyancroft_rollout_writes_failed_total",
          "Writes of roll-outs that conflicted or were not answered"))
    , samplesCollected_(metrics.counter(
          "banyancroft_rollout_samples_collected_total", "Samples of other VMs that this VM has compared"))
{
    metrics.gauge("banyancroft_rollouts_running", "Roll-outs that are running",
        [this] { return static_cast<double>(runningCount()); });
    metrics.gauge("banyancroft_rollout_share", "Greatest share of a target version in a running roll-out",
        [this] { return greatestShare(); });
}

std::size_t RolloutWriter::runningCount() const
{
    const auto& services = traffic_.rollouts().services();
    return static_cast<std::size_t>(std::count_if(
        services.begin(), services.end(), [](const auto& entry) { return entry.second.driver.isRunning(); }));
}

double RolloutWriter::greatestShare() const
{
    double share = 0;
    for (const auto& [id, rollout] : traffic_.rollouts().services()) {
        if (rollout.driver.isRunning() && rollout.division)
            share = std::max(share, rollout.division->share);
    }
    return share;
}

void RolloutWriter::tick(Duration viewAge, TimePoint now)
{
    auto& rollouts = traffic_.rollouts();
    if (rollouts.isEmpty())
        return;
    if (now >= nextCollection_) {
        nextCollection_ = now + collectionInterval;
        collectSamples();
    }
    rollouts.update(now);
    for (auto& [id, rollout] : rollouts.services()) {
        if (!rollout.driver.isOpen())
            continue;
        if (const auto next = rollout.driver.nextWrite(inputsOf(id, rollout, viewAge), now))
            write(id, *next);
    }
}

rollout::DriverInputs RolloutWriter::inputsOf(
    const ServiceId& id, ServiceRollout& rollout, Duration viewAge) const
{
    rollout::DriverInputs inputs;
    inputs.rank = members_.rankFor(rankName(id));
    inputs.isViewCurrent = viewAge < scaled(traffic_.settings().maxPropagationDelay, staleFraction);
    const auto& order = rollout.driver.order();
    if (!order)
        return inputs;
    std::set<AvailabilityZone> targetZones;
    for (const auto& upstream : traffic_.registry().upstreams(id)) {
        if (!upstream->usable || traffic_.registry().isEvacuated(upstream->record.zone))
            continue;
        if (upstream->record.version == order->target) {
            ++inputs.targetReplicas;
            targetZones.insert(upstream->record.zone);
        } else {
            ++inputs.otherReplicas;
        }
    }
    rollout.own->setTargetZones(targetZones.size());
    rollout.fleet->setTargetZones(targetZones.size());
    std::uint64_t target = 0;
    std::uint64_t all = 0;
    for (const auto& [group, counts] : rollout.fleet->totals()) {
        if (group.symptom != rollout::Symptom::Failures)
            continue;
        target += counts.target;
        all += counts.target + counts.other;
    }
    const auto& settings = traffic_.settings();
    inputs.isExposureHigh = static_cast<double>(target)
        > settings.maxRolloutExposure * static_cast<double>(all) + settings.rolloutExposureSlack;
    return inputs;
}

void RolloutWriter::write(const ServiceId& id, const rollout::Write& write)
{
    const auto* status = std::get_if<rollout::Status>(&write.value);
    const auto key = status ? layout_.rolloutStatusKey(id) : layout_.rolloutStepKey(id);
    auto value = status ? layout_.encodeRolloutStatus(*status)
                        : layout_.encodeRolloutStep(std::get<rollout::Step>(write.value));
    if (!write.reason.empty())
        log(LogLevel::Warn, "rollout", "rolling back",
            { { "service", id.str() }, { "reason", write.reason } });
    store_.putIf(key, std::move(value), {}, { write.expectedRevision },
        [this, id, write, era = store_.eras().current()](
            std::optional<store::Revision> revision, const Error& reason) {
            if (store_.eras().current() > era)
                return handleWritten(id, write, std::nullopt,
                    { ErrorKind::Unavailable, "the store was restored from a copy meanwhile",
                        "no action needed, the key is read again" });
            handleWritten(id, write, revision, reason);
        });
}

void RolloutWriter::handleWritten(const ServiceId& id, const rollout::Write& write,
    std::optional<store::Revision> revision, const Error& reason)
{
    auto& services = traffic_.rollouts().services();
    const auto found = services.find(id);
    if (found == services.end())
        return;
    const auto now = BootClock::now();
    const auto end = revision                ? rollout::WriteEnd::Written
        : reason.kind == ErrorKind::Conflict ? rollout::WriteEnd::Conflict
                                             : rollout::WriteEnd::Lost;
    found->second.driver.writeEnded(end, revision.value_or(store::Revision {}).value, now);
    traffic_.rollouts().update(now);
    const auto* status = std::get_if<rollout::Status>(&write.value);
    if (!revision) {
        writesFailed_.add();
        log(LogLevel::Info, "rollout",
            end == rollout::WriteEnd::Conflict ? "another VM has written first"
                                               : "write was not answered, will look again",
            { { "service", id.str() }, { "what", status ? "status" : "step" },
                { "reason", toString(reason) } });
        return;
    }
    if (!status)
        return;
    log(LogLevel::Info, "rollout", "status written",
        { { "service", id.str() }, { "target", status->target },
            { "state", layout_.encodeRolloutStatus(*status) }, { "reason", write.reason },
            { "revision", std::to_string(revision->value) } });
    if (status->state == rollout::State::Completed)
        completed_.add();
    if (status->state == rollout::State::RolledBack)
        (write.reason.starts_with("failures")         ? rolledBackForFailures_
                : write.reason.starts_with("latency") ? rolledBackForLatency_
                                                      : rolledBackOtherwise_)
            .add();
}

std::string RolloutWriter::encodeSamples() const
{
    auto services = Json::array();
    for (const auto& [id, rollout] : traffic_.rollouts().services()) {
        if (!rollout.own || !rollout.driver.isRunning())
            continue;
        auto groups = Json::array();
        for (const auto& [group, counts] : rollout.own->totals())
            groups.push_back(
                Json::array({ group.route, group.zone, group.symptom == rollout::Symptom::Latency,
                    counts.target, counts.targetBad, counts.other, counts.otherBad }));
        services.push_back(Json::array({ id.str(), rollout.driver.order()->revision, std::move(groups) }));
    }
    std::string bytes;
    Json::to_msgpack(services, bytes);
    return bytes;
}

void RolloutWriter::collectSamples()
{
    bool isDriver = false;
    for (auto& [id, rollout] : traffic_.rollouts().services()) {
        if (!rollout.driver.isRunning())
            continue;
        if (members_.rankFor(rankName(id)) == 0U) {
            isDriver = true;
            mergeTotals(rollout, traffic_.settings().vm, rollout.own->totals(), BootClock::now());
        } else {
            // Totals of the time as a driver would be merged twice after a change of drivers.
            rollout.merged.clear();
        }
    }
    if (!isDriver) {
        peers_.clear();
        return;
    }
    for (const auto& vm : traffic_.dispatchers()) {
        const auto address = members_.relayAddress(vm);
        if (!address || vm == traffic_.settings().vm)
            continue;
        auto& client = peers_[vm];
        if (!client || !(peerAddresses_[vm] == *address)) {
            store::HttpClient::Options options;
            options.address = address->address;
            options.port = address->port;
            client = std::make_shared<store::HttpClient>(ioContext_, std::move(options));
            peerAddresses_[vm] = *address;
        }
        client->call("GET", std::string(rolloutSamplesPath), "", peerTimeout,
            [this, vm, client](const std::optional<store::HttpResponse>& response, const store::HttpError&) {
                if (response && response->status == statusOk)
                    mergeSamples(vm, response->body, BootClock::now());
            });
    }
    std::erase_if(
        peers_, [this](const auto& entry) { return !traffic_.dispatchers().contains(entry.first); });
}

void RolloutWriter::mergeSamples(const VmId& vm, std::string_view bytes, TimePoint now)
{
    try {
        for (const auto& entry : json::parseMessagePack(bytes)) {
            auto& services = traffic_.rollouts().services();
            const auto found = services.find(ServiceId(entry.at(0).get<std::string>()));
            if (found == services.end() || !found->second.driver.isRunning()
                || found->second.driver.order()->revision != entry.at(1).get<std::uint64_t>())
                continue;
            std::map<rollout::SampleGroup, rollout::SampleCounts> totals;
            for (const auto& group : entry.at(2)) {
                const auto symptom
                    = group.at(2).get<bool>() ? rollout::Symptom::Latency : rollout::Symptom::Failures;
                totals[{ group.at(0).get<std::string>(), group.at(1).get<std::string>(), symptom }]
                    = { group.at(3).get<std::uint64_t>(), group.at(4).get<std::uint64_t>(),
                          group.at(5).get<std::uint64_t>(), group.at(6).get<std::uint64_t>() };
            }
            samplesCollected_.add(mergeTotals(found->second, vm, totals, now));
        }
    } catch (const std::exception& error) {
        log(LogLevel::Warn, "rollout", "ignoring malformed samples of another VM",
            { { "peer", vm.str() }, { "reason", error.what() } });
    }
}

} // namespace banyancroft::gateway
