#include "membership_driver.h"

#include "telemetry/log.h"
#include "wire/messages.h"

namespace banyancroft::daemon {

namespace {

using telemetry::log;
using telemetry::LogLevel;

constexpr std::string_view viewSuffix = "/view";

store::Revision toRevision(membership::StoreRevision revision) { return { revision.value }; }

membership::StoreRevision fromRevision(store::Revision revision) { return { revision.value }; }

} // namespace

std::string viewKey(const AvailabilityZone& zone)
{
    return std::string(zonePrefix) + zone.str() + std::string(viewSuffix);
}

std::optional<AvailabilityZone> zoneOfViewKey(std::string_view key)
{
    if (!key.starts_with(zonePrefix) || !key.ends_with(viewSuffix))
        return std::nullopt;
    key.remove_prefix(zonePrefix.size());
    key.remove_suffix(viewSuffix.size());
    if (key.empty() || key.find('/') != std::string_view::npos)
        return std::nullopt;
    return AvailabilityZone(std::string(key));
}

MembershipDriver::MembershipDriver(store::Store& store, const membership::Settings& settings, Hooks hooks)
    : store_(store)
    , settings_(settings)
    , memberPrefix_(std::string(zonePrefix) + settings.zone.str() + "/member/")
    , hooks_(std::move(hooks))
    , membership_(settings, hooks_.now())
{
}

MembershipDriver::~MembershipDriver() { *alive_ = false; }

template <typename Result>
store::Callback<Result> MembershipDriver::guarded(
    membership::RequestId request, std::function<void(const Result&)> onResult)
{
    return [this, alive = alive_, request, onResult = std::move(onResult)](
               std::optional<Result> result, const Error& reason) {
        if (!*alive)
            return;
        if (result)
            return onResult(*result);
        log(LogLevel::Debug, "membership", "store call failed", { { "reason", toString(reason) } });
        run(membership_.storeFailed(request, hooks_.now()));
    };
}

void MembershipDriver::run(const membership::Actions& actions)
{
    for (const auto& action : actions)
        std::visit([this](const auto& typed) { perform(typed); }, action);
    if (const auto* view = membership_.view())
        adoptView(*view);
}

void MembershipDriver::adoptView(const membership::View& view)
{
    if (views_.adopt(view))
        hooks_.onViewsChanged();
}

void MembershipDriver::onStoreValue(const store::KeyValue& value)
{
    auto zone = zoneOfViewKey(value.key);
    if (!zone || !value.modified)
        return;
    Error reason;
    auto view = membership::parseView(value.value, reason);
    if (!view || view->zone != *zone) {
        log(LogLevel::Error, "membership", "malformed view in the store",
            { { "key", value.key }, { "reason", toString(reason) } });
        return;
    }
    if (*zone == settings_.zone)
        run(membership_.viewChanged(*view, fromRevision(value.modified), hooks_.now()));
    else
        adoptView(*view);
}

void MembershipDriver::onPeerView(const membership::View& view)
{
    if (view.zone == settings_.zone)
        run(membership_.viewLearned(view, hooks_.now()));
    else
        adoptView(view);
}

void MembershipDriver::onPromiseRequest(const VmId& from, const wire::PromiseRequest& request)
{
    if (request.zone == settings_.zone)
        run(membership_.promiseRequested(from, request.view, request.requestNumber, hooks_.now()));
}

void MembershipDriver::onPromise(const VmId& from, const wire::Promise& promise)
{
    if (promise.zone != settings_.zone)
        return;
    const Duration duration = std::chrono::microseconds(promise.durationMicros);
    run(membership_.promiseReceived(from, promise.view, promise.requestNumber, duration, hooks_.now()));
}

void MembershipDriver::listVms()
{
    store_.list(vmListPrefix, [this, alive = alive_](std::optional<store::Listing> listing, const Error&) {
        if (!*alive || !listing)
            return;
        std::vector<VmId> vms;
        for (const auto& entry : listing->entries)
            vms.emplace_back(entry.key.substr(vmListPrefix.size()));
        run(membership_.vmsListed(vms, hooks_.now()));
    });
}

void MembershipDriver::revokeLease()
{
    if (lease_)
        store_.revokeLease(lease_, [](std::optional<bool>, const Error&) {});
}

void MembershipDriver::perform(const membership::AcquireLease& action)
{
    store_.grantLease(settings_.lease,
        guarded<store::LeaseGrant>(action.request, [this, action](const store::LeaseGrant& grant) {
            lease_ = grant.lease;
            run(membership_.leaseGranted(action.request, hooks_.now()));
        }));
}

void MembershipDriver::perform(const membership::RenewLease& action)
{
    store_.renewLease(
        lease_, [this, alive = alive_, action](std::optional<store::LeaseGrant> grant, const Error& reason) {
            if (!*alive)
                return;
            const TimePoint now = hooks_.now();
            if (grant) {
                hooks_.onRevision(grant->revision);
                return run(membership_.leaseRenewed(action.request, now));
            }
            if (reason.kind == ErrorKind::NotFound)
                return run(membership_.leaseLost(action.request, now));
            run(membership_.storeFailed(action.request, now));
        });
}

void MembershipDriver::perform(const membership::ReadView& action)
{
    store_.get(viewKey(settings_.zone),
        guarded<store::Listing>(action.request, [this, action](const store::Listing& listing) {
            const TimePoint now = hooks_.now();
            if (listing.entries.empty())
                return run(membership_.viewRead(action.request, std::nullopt, {}, now));
            const auto& entry = listing.entries.front();
            Error reason;
            auto view = membership::parseView(entry.value, reason);
            if (!view) {
                log(LogLevel::Error, "membership", "malformed view in the store",
                    { { "key", entry.key }, { "reason", toString(reason) } });
                return run(membership_.storeFailed(action.request, now));
            }
            run(membership_.viewRead(action.request, view, fromRevision(entry.modified), now));
        }));
}

void MembershipDriver::perform(const membership::SwapView& action)
{
    store_.compareAndSwap(
        { viewKey(settings_.zone), toRevision(action.expected), membership::serialize(action.view), {} },
        guarded<store::SwapResult>(action.request, [this, action](const store::SwapResult& result) {
            std::optional<membership::StoreRevision> revision;
            if (result.swapped) {
                revision = fromRevision(result.revision);
                log(LogLevel::Info, "membership", "view changed",
                    { { "zone", settings_.zone.str() }, { "view", std::to_string(action.view.number.value) },
                        { "members", std::to_string(action.view.members.size()) },
                        { "departing", std::to_string(action.view.departing.size()) } });
            }
            run(membership_.swapped(action.request, revision, hooks_.now()));
        }));
}

void MembershipDriver::perform(const membership::WriteRecord& action)
{
    store_.compareAndSwap({ memberPrefix_ + settings_.vm.str(), toRevision(action.expected),
                              membership::serialize(action.record), lease_ },
        guarded<store::SwapResult>(action.request, [this, action](const store::SwapResult& result) {
            std::optional<membership::StoreRevision> revision;
            if (result.swapped)
                revision = fromRevision(result.revision);
            run(membership_.recordWritten(action.request, revision, hooks_.now()));
        }));
}

void MembershipDriver::perform(const membership::ListMembers& action)
{
    store_.list(
        memberPrefix_, guarded<store::Listing>(action.request, [this, action](const store::Listing& listing) {
            std::vector<membership::ListedRecord> records;
            for (const auto& entry : listing.entries) {
                Error reason;
                auto record = membership::parseMemberRecord(entry.value, reason);
                if (!record) {
                    // If the record were skipped, the lease of the member would appear to have expired.
                    log(LogLevel::Error, "membership", "malformed member record in the store",
                        { { "key", entry.key }, { "reason", toString(reason) } });
                    return run(membership_.storeFailed(action.request, hooks_.now()));
                }
                records.push_back({ std::move(*record), fromRevision(entry.modified) });
            }
            run(membership_.membersListed(
                action.request, records, fromRevision(listing.revision), hooks_.now()));
        }));
}

void MembershipDriver::perform(const membership::SendPromiseRequest& action)
{
    hooks_.send(action.address, wire::PromiseRequest { settings_.zone, action.view, action.requestNumber });
}

void MembershipDriver::perform(const membership::SendPromise& action)
{
    const auto* view = membership_.view();
    const auto* member = view ? view->find(action.to) : nullptr;
    if (!member)
        return;
    const auto micros = static_cast<std::uint64_t>(toMicros(action.duration));
    hooks_.send(member->address, wire::Promise { settings_.zone, action.view, action.requestNumber, micros });
}

void MembershipDriver::perform(const membership::AuthorityChanged& action)
{
    hooks_.onAuthority(action.upstream, action.authority);
}

void MembershipDriver::perform(const membership::ReportInFlight& action)
{
    hooks_.collectInFlight([this, alive = alive_, action](std::vector<membership::InFlight> counts) {
        if (*alive)
            run(membership_.inFlightReported(action.view, counts, hooks_.now()));
    });
}

void MembershipDriver::perform(const membership::HandOverDone&)
{
    log(LogLevel::Info, "membership", "hand-over done");
    hooks_.onHandOverDone();
}

} // namespace banyancroft::daemon
