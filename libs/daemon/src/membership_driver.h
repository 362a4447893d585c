#pragma once

#include "membership/membership.h"
#include "membership/zone_views.h"
#include "store/store.h"
#include "wire/messages.h"

#include <functional>
#include <memory>
#include <string>

namespace banyancroft::daemon {

/** Prefix of all keys of this project at the store. */
constexpr std::string_view storePrefix = "/banyancroft/";
/** Prefix of views and member records. */
constexpr std::string_view zonePrefix = "/banyancroft/az/";
/** Prefix of the platform's list of live and leaving VMs, one key per VM. */
constexpr std::string_view vmListPrefix = "/platform/vms/";

/** Store key of the view of a zone. */
std::string viewKey(const AvailabilityZone& zone);
/** Zone of a view key; empty when the key is not a view key. */
std::optional<AvailabilityZone> zoneOfViewKey(std::string_view key);

/**
 * Carries out the actions of membership::Membership against the store and reports the results back.
 * Lives on the control thread.
 */
class MembershipDriver {
public:
    struct Hooks {
        std::function<TimePoint()> now;
        std::function<void(const UpstreamId&, const Authority&)> onAuthority;
        /** Collects the requests in flight on all traffic threads, after the authorities set before have
         * taken effect.
         */
        std::function<void(std::function<void(std::vector<membership::InFlight>)>)> collectInFlight;
        std::function<void(const std::string& address, wire::Message)> send;
        /** A newer view of a zone was adopted. */
        std::function<void()> onViewsChanged;
        std::function<void()> onHandOverDone;
        /** Revision of the store at the renewal of the own lease. */
        std::function<void(store::Revision)> onRevision;
    };

    MembershipDriver(store::Store& store, const membership::Settings& settings, Hooks hooks);
    ~MembershipDriver();

    membership::Membership& membership() { return membership_; }
    const membership::Membership& membership() const { return membership_; }
    const membership::ZoneViews& views() const { return views_; }

    /** Carries out actions that a direct call of membership() returned. */
    void run(const membership::Actions& actions);
    /** Handles a key below zonePrefix that a watch or listing returned. */
    void onStoreValue(const store::KeyValue& value);
    /** Handles a view received from a peer. */
    void onPeerView(const membership::View& view);
    void onPromiseRequest(const VmId& from, const wire::PromiseRequest& request);
    void onPromise(const VmId& from, const wire::Promise& promise);
    /** Revokes the lease, which deletes the member record; called after the hand-over is done. */
    void revokeLease();
    /** Reads the platform's VM list. */
    void listVms();

private:
    void perform(const membership::AcquireLease& action);
    void perform(const membership::RenewLease& action);
    void perform(const membership::ReadView& action);
    void perform(const membership::SwapView& action);
    void perform(const membership::WriteRecord& action);
    void perform(const membership::ListMembers& action);
    void perform(const membership::SendPromiseRequest& action);
    void perform(const membership::SendPromise& action);
    void perform(const membership::AuthorityChanged& action);
    void perform(const membership::ReportInFlight& action);
    void perform(const membership::HandOverDone& action);

    /** Wraps a store callback so that it does nothing after this object is gone. */
    template <typename Result>
    store::Callback<Result> guarded(
        membership::RequestId request, std::function<void(const Result&)> onResult);
    void adoptView(const membership::View& view);

    store::Store& store_;
    const membership::Settings settings_;
    const std::string memberPrefix_;
    Hooks hooks_;
    membership::Membership membership_;
    membership::ZoneViews views_;
    store::LeaseId lease_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::daemon
