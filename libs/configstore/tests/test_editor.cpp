#include "configstore/editor.h"

#include "config/document_json.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <fstream>
#include <iterator>

using namespace banyancroft;
using namespace banyancroft::configstore;
using store::Callback;

namespace {

// A store with one key. Each call consumes the next fault of the list; replies are delivered in run().
class OneKeyStore : public store::Store {
public:
    enum class Fault { None, Unavailable, ReplyLost, RequestDelayed };

    void get(std::string_view /*unused*/, Callback<store::Listing> callback) override
    {
        const Fault fault = nextFault();
        pendingReplies_.push_back([this, fault, callback] {
            if (fault == Fault::Unavailable)
                return callback(std::nullopt, { ErrorKind::Unavailable, "down", "" });
            store::Listing listing;
            if (current)
                listing.entries.push_back(*current);
            callback(listing, {});
        });
    }

    void compareAndSwap(store::Swap swap, Callback<store::SwapResult> callback) override
    {
        const Fault fault = nextFault();
        pendingReplies_.push_back([this, fault, swap, callback] {
            const Error noReply { ErrorKind::TimedOut, "no reply", "" };
            if (fault == Fault::RequestDelayed) {
                deliverDelayedRequest = [this, swap] { applySwap(swap); };
                return callback(std::nullopt, noReply);
            }
            if (fault == Fault::Unavailable)
                return callback(std::nullopt, noReply);
            if (beforeSwap)
                std::exchange(beforeSwap, nullptr)();
            const bool swapped = applySwap(swap);
            if (fault == Fault::ReplyLost) {
                if (beforeLostReply)
                    std::exchange(beforeLostReply, nullptr)();
                return callback(std::nullopt, noReply);
            }
            callback(store::SwapResult { swapped, { revision }, current }, {});
        });
    }

    void list(std::string_view /*unused*/, Callback<store::Listing> /*unused*/) override { }
    void grantLease(Duration /*unused*/, Callback<store::LeaseGrant> /*unused*/) override { }
    void renewLease(store::LeaseId /*unused*/, Callback<store::LeaseGrant> /*unused*/) override { }
    void revokeLease(store::LeaseId /*unused*/, Callback<bool> /*unused*/) override { }
    void watch(std::string_view /*unused*/, store::Revision /*unused*/,
        std::function<void(std::span<const store::KeyValue>)> /*unused*/,
        std::function<void(const Error&)> /*unused*/) override
    {
    }

    bool applySwap(const store::Swap& swap)
    {
        if (swap.expected != (current ? current->modified : store::Revision {}))
            return false;
        put(*swap.value);
        return true;
    }

    void put(std::string value)
    {
        current = { std::string(documentKey), std::move(value), { ++revision }, {} };
    }

    void run()
    {
        for (; !pendingReplies_.empty(); pendingReplies_.pop_front())
            std::function<void()>(pendingReplies_.front())();
    }

    std::optional<store::KeyValue> current;
    std::uint64_t revision = 100;
    std::deque<Fault> faults;
    std::function<void()> beforeSwap;
    std::function<void()> beforeLostReply;
    std::function<void()> deliverDelayedRequest;
    unsigned calls = 0;

private:
    Fault nextFault()
    {
        ++calls;
        if (faults.empty())
            return Fault::None;
        const Fault fault = faults.front();
        faults.pop_front();
        return fault;
    }

    std::deque<std::function<void()>> pendingReplies_;
};

using Fault = OneKeyStore::Fault;

config::Document example()
{
    std::ifstream file(std::string(BANYANCROFT_EXAMPLES) + "/pilak-balik.json");
    const std::string text { std::istreambuf_iterator<char>(file), {} };
    Error reason;
    return config::parseDocument(text, reason).value();
}

struct Fixture {
    Fixture() { store.put(config::toJson(example())); }

    config::Document stored() const
    {
        Error reason;
        return config::parseDocument(store.current->value, reason).value();
    }

    void editConcurrently(const std::function<void(config::Document&)>& change)
    {
        config::Document document = stored();
        ++document.version.value;
        change(document);
        store.put(config::toJson(document));
    }

    EditResult takeOut(const char* zone, config::EditOptions options = {})
    {
        unsigned callbackCount = 0;
        EditResult lastResult;
        ConfigurationEditor editor(store, {});
        editor.edit(
            config::TakeOutZone { AvailabilityZone(zone), options }, inForce, [&](const EditResult& result) {
                ++callbackCount;
                lastResult = result;
            });
        store.run();
        BOOST_TEST(callbackCount == 1U);
        return lastResult;
    }

    OneKeyStore store;
    std::shared_ptr<const config::Document> inForce;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Editor, Fixture)

// Guards against an edit that is reported as accepted but not stored.
BOOST_AUTO_TEST_CASE(acceptedEditIsStored)
{
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST((*result.document == stored()));
    BOOST_TEST(stored().version.value == 2U);
    BOOST_TEST(!stored().zones[0].serving);
}

// Guards against reporting a change that took effect as failed when the reply to the swap is lost.
BOOST_AUTO_TEST_CASE(editWithLostReplyIsAcceptedAfterReadBack)
{
    store.faults = { Fault::None, Fault::ReplyLost, Fault::Unavailable, Fault::Unavailable, Fault::None };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST(stored().version.value == 2U);
}

// Guards against reporting an edit as lost when another edit is stored on top of it before the read back.
BOOST_AUTO_TEST_CASE(editWithLostReplyIsAcceptedUnderLaterEdit)
{
    store.faults = { Fault::None, Fault::ReplyLost };
    store.beforeLostReply
        = [&] { editConcurrently([](auto& document) { document.zones[1].serving = false; }); };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST(result.document->version.value == 3U);
}

// Guards against a swap that takes effect twice: the first request arrives late, after its repetition
// succeeded.
BOOST_AUTO_TEST_CASE(repeatedSwapTakesEffectOnce)
{
    store.faults = { Fault::None, Fault::RequestDelayed, Fault::None, Fault::None };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST(stored().version.value == 2U);
    store.deliverDelayedRequest();
    BOOST_TEST(stored().version.value == 2U);
}

// Guards against accepting the losing edit of a race, which would leave a zone serving that its operator
// believes taken out.
BOOST_AUTO_TEST_CASE(losingConcurrentEditReportsConflict)
{
    const auto takeOutOtherZone
        = [&] { editConcurrently([](auto& document) { document.zones[1].serving = false; }); };
    store.beforeSwap = takeOutOtherZone;
    BOOST_TEST((takeOut("luzon-a").error.kind == ErrorKind::Conflict));
    // The same with a lost reply: the other edit has taken the version number of this one.
    store.beforeSwap = [&] { editConcurrently([](auto& document) { document.zones[2].serving = false; }); };
    store.faults = { Fault::None, Fault::ReplyLost };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST((result.error.kind == ErrorKind::Conflict));
    BOOST_TEST(!result.outcomeUnknown);
    BOOST_TEST(stored().zones[0].serving);
}

// Guards against reporting an unconfirmed write as failed, after which an operator would send it again.
BOOST_AUTO_TEST_CASE(outcomeIsUnknownWhenStoreStaysUnavailableAfterSwap)
{
    store.faults = std::deque<Fault>(100, Fault::Unavailable);
    store.faults.front() = Fault::None;
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(result.outcomeUnknown);
    BOOST_TEST((result.error.kind == ErrorKind::Unavailable));
    BOOST_TEST(store.calls == ConfigurationEditor::Options {}.maxStoreCalls);
}

// Guards against reporting an unknown outcome when the first read failed and nothing was written.
BOOST_AUTO_TEST_CASE(failedReadIsDefiniteFailure)
{
    store.faults = { Fault::Unavailable };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST((result.error.kind == ErrorKind::Unavailable));
    BOOST_TEST(!result.outcomeUnknown);
}

// Guards against an edit of an older stored document, which no daemon would adopt.
BOOST_AUTO_TEST_CASE(staleStoreIsRepairedButNotEdited)
{
    config::Document newer = example();
    newer.version = { 9 };
    inForce = std::make_shared<const config::Document>(newer);
    BOOST_TEST((takeOut("luzon-a").error.kind == ErrorKind::Unavailable));
    BOOST_TEST(stored().version.value == 1U);
    ConfigurationEditor editor(store, {});
    Error error { ErrorKind::Internal, "", "" };
    editor.repairStore(inForce, [&](const EditResult& result) { error = result.error; });
    store.run();
    BOOST_TEST(!error);
    BOOST_TEST((stored() == newer));
    editor.repairStore(inForce, [&](const EditResult& result) { error = result.error; });
    store.run();
    BOOST_TEST((error.kind == ErrorKind::Conflict));
}

// Guards against a command that is applied to another version than the operator named.
BOOST_AUTO_TEST_CASE(editForOtherVersionReportsConflict)
{
    BOOST_TEST((takeOut("luzon-a", { ConfigVersion { 5 }, false }).error.kind == ErrorKind::Conflict));
    BOOST_TEST(!takeOut("luzon-a", { ConfigVersion { 1 }, false }).error);
}

BOOST_AUTO_TEST_SUITE_END()
