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

// Holds one key. Each call takes the next fault of the list; callbacks run in run().
class OneKeyStore : public store::Store {
public:
    enum class Fault { None, Down, ReplyLost, RequestDelayed };

    void get(std::string_view /*unused*/, Callback<store::Listing> callback) override
    {
        const Fault fault = nextFault();
        steps_.push_back([this, fault, callback] {
            if (fault == Fault::Down)
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
        steps_.push_back([this, fault, swap, callback] {
            const Error lost { ErrorKind::TimedOut, "no reply", "" };
            if (fault == Fault::RequestDelayed) {
                delayed = [this, swap] { effect(swap); };
                return callback(std::nullopt, lost);
            }
            if (fault == Fault::Down)
                return callback(std::nullopt, lost);
            if (beforeSwap)
                std::exchange(beforeSwap, nullptr)();
            const bool swapped = effect(swap);
            if (fault == Fault::ReplyLost) {
                if (afterLostReply)
                    std::exchange(afterLostReply, nullptr)();
                return callback(std::nullopt, lost);
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

    bool effect(const store::Swap& swap)
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
        for (; !steps_.empty(); steps_.pop_front())
            std::function<void()>(steps_.front())();
    }

    std::optional<store::KeyValue> current;
    std::uint64_t revision = 100;
    std::deque<Fault> faults;
    std::function<void()> beforeSwap;
    std::function<void()> afterLostReply;
    std::function<void()> delayed;
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

    std::deque<std::function<void()>> steps_;
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

    void editElsewhere(const std::function<void(config::Document&)>& change)
    {
        config::Document document = stored();
        ++document.version.value;
        change(document);
        store.put(config::toJson(document));
    }

    EditResult takeOut(const char* zone, config::EditOptions options = {})
    {
        unsigned answers = 0;
        EditResult last;
        ConfigurationEditor editor(store, {});
        editor.edit(
            config::TakeOutZone { AvailabilityZone(zone), options }, inForce, [&](const EditResult& result) {
                ++answers;
                last = result;
            });
        store.run();
        BOOST_TEST(answers == 1U);
        return last;
    }

    OneKeyStore store;
    std::shared_ptr<const config::Document> inForce;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Editor, Fixture)

// An edit reported as accepted must be at the store.
BOOST_AUTO_TEST_CASE(AcceptedEditIsAtTheStore)
{
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST((*result.document == stored()));
    BOOST_TEST(stored().version.value == 2U);
    BOOST_TEST(!stored().zones[0].serving);
}

// A lost reply must not make an operator repeat, or believe undone, a change that took effect.
BOOST_AUTO_TEST_CASE(LostReplyIsReadBackAsAccepted)
{
    store.faults = { Fault::None, Fault::ReplyLost, Fault::Down, Fault::Down, Fault::None };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST(stored().version.value == 2U);
}

// An operator who edits on top before the read back must not make the first edit look lost.
BOOST_AUTO_TEST_CASE(LostReplyIsAcceptedUnderALaterEdit)
{
    store.faults = { Fault::None, Fault::ReplyLost };
    store.afterLostReply = [&] { editElsewhere([](auto& document) { document.zones[1].serving = false; }); };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST(result.document->version.value == 3U);
}

// A swap that never reached the store must be repeated, and its late copy must not take effect again.
BOOST_AUTO_TEST_CASE(UnchangedKeyIsSwappedAgainOnce)
{
    store.faults = { Fault::None, Fault::RequestDelayed, Fault::None, Fault::None };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(!result.error);
    BOOST_TEST(stored().version.value == 2U);
    store.delayed();
    BOOST_TEST(stored().version.value == 2U);
}

// The operator who lost a race must be told, or would believe in a zone that still serves.
BOOST_AUTO_TEST_CASE(LoserOfARaceGetsAConflict)
{
    const auto other = [&] { editElsewhere([](auto& document) { document.zones[1].serving = false; }); };
    store.beforeSwap = other;
    BOOST_TEST((takeOut("luzon-a").error.kind == ErrorKind::Conflict));
    // The same with a lost reply: the version that was swapped for is taken by other content.
    store.beforeSwap = [&] { editElsewhere([](auto& document) { document.zones[2].serving = false; }); };
    store.faults = { Fault::None, Fault::ReplyLost };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST((result.error.kind == ErrorKind::Conflict));
    BOOST_TEST(!result.outcomeUnknown);
    BOOST_TEST(stored().zones[0].serving);
}

// Reporting an unanswered write as failed would invite a second one.
BOOST_AUTO_TEST_CASE(OutcomeIsUnknownWhenTheStoreStaysDown)
{
    store.faults = std::deque<Fault>(100, Fault::Down);
    store.faults.front() = Fault::None;
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST(result.outcomeUnknown);
    BOOST_TEST((result.error.kind == ErrorKind::Unavailable));
    BOOST_TEST(store.calls == ConfigurationEditor::Options {}.maxStoreCalls);
}

// A store that cannot be read must leave the operator with a definite answer.
BOOST_AUTO_TEST_CASE(FailedReadChangesNothing)
{
    store.faults = { Fault::Down };
    const EditResult result = takeOut("luzon-a");
    BOOST_TEST((result.error.kind == ErrorKind::Unavailable));
    BOOST_TEST(!result.outcomeUnknown);
}

// An edit of an older document would come into force nowhere, since the fleet never goes back.
BOOST_AUTO_TEST_CASE(OlderStoreIsBroughtForwardNotEdited)
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

// A command for a version that is no longer in force must not be carried out.
BOOST_AUTO_TEST_CASE(VersionCompareIsAConflict)
{
    BOOST_TEST((takeOut("luzon-a", { ConfigVersion { 5 }, false }).error.kind == ErrorKind::Conflict));
    BOOST_TEST(!takeOut("luzon-a", { ConfigVersion { 1 }, false }).error);
}

BOOST_AUTO_TEST_SUITE_END()
