#include "store/base64.h"
#include "store/etcd_store.h"
#include "store/http_client.h"

#include "http_server/http_server.h"
#include "platform_emulator/platform_emulator.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::store;
using namespace std::chrono_literals;

namespace {

/** Longer than any call of these tests takes on a busy machine. */
constexpr auto callTimeout = 20s;

/** A store client, the emulator that it calls and the emulator's admin client on one io_context. */
struct Fixture {
    Fixture()
        : store(std::make_unique<EtcdStore>(ioContext, options(10s)))
        , admin(ioContext, { .address = "127.0.0.1", .port = emulator.adminPort() })
    {
    }

    EtcdStore::Options options(Duration deadline) const
    {
        return { .address = "127.0.0.1",
            .port = emulator.httpPort(),
            .localAddress = "127.0.0.2",
            .clientName = "vm-1",
            .deadline = deadline };
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const auto end = BootClock::now() + callTimeout;
        while (!condition()) {
            BOOST_REQUIRE(BootClock::now() < end);
            ioContext.run_one_for(100ms);
        }
    }

    /** Makes a call and waits for its callback. */
    template <typename Result, typename Start> std::optional<Result> wait(const Start& start)
    {
        unsigned callbacks = 0;
        std::optional<Result> result;
        start([&](std::optional<Result> value, const Error& failure) {
            ++callbacks;
            result = std::move(value);
            reason = failure;
        });
        BOOST_TEST(callbacks == 0U);
        runUntil([&] { return callbacks > 0; });
        ioContext.poll();
        BOOST_TEST(callbacks == 1U);
        return result;
    }

    std::optional<Listing> get(const std::string& key)
    {
        return wait<Listing>([&](auto callback) { store->get(key, callback); });
    }
    std::optional<SwapResult> swap(
        const std::string& key, Revision expected, std::optional<std::string> value, LeaseId lease = {})
    {
        return wait<SwapResult>([&](auto callback) {
            store->compareAndSwap({ key, expected, value, lease }, callback);
        });
    }
    std::string command(const std::string& target, const std::string& body)
    {
        const auto answer = wait<HttpResponse>([&](auto callback) {
            admin.call(target == "/books" ? "GET" : "POST", target, body, 10s, callback);
        });
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == 200U);
        return answer->body;
    }

    boost::asio::io_context ioContext { 1 };
    tools::PlatformEmulator emulator { ioContext, {} };
    std::unique_ptr<EtcdStore> store;
    HttpClient admin;
    Error reason;
};

const std::string binary("a\0\xff\n", 4);

} // namespace

// Keys and values are bytes; an encoding that changes some of them would corrupt the configuration.
BOOST_AUTO_TEST_CASE(base64MatchesThePublishedVectors)
{
    BOOST_TEST(encodeBase64("foobar") == "Zm9vYmFy");
    BOOST_TEST(encodeBase64("foob") == "Zm9vYg==");
    BOOST_TEST(encodeBase64("fooba") == "Zm9vYmE=");
    BOOST_TEST(decodeBase64("Zm9vYg==").value() == "foob");
    BOOST_TEST(decodeBase64("").value().empty());
    for (const auto* wrong : { "Zm9", "Zm9=v===", "Zm 9", "====", "Zm9vY===" })
        BOOST_TEST(!decodeBase64(wrong).has_value());
}

// A swap that writes over another writer's value would lose a configuration change.
BOOST_FIXTURE_TEST_CASE(swapsOnlyAtTheExpectedRevision, Fixture)
{
    const auto created = swap("k", {}, binary);
    BOOST_REQUIRE((created && created->swapped));
    const auto refused = swap("k", {}, "other");
    BOOST_REQUIRE((refused && !refused->swapped && refused->current));
    BOOST_TEST(refused->current->value == binary);
    BOOST_TEST(refused->current->modified == created->revision);
    BOOST_TEST(swap("k", created->revision, "next")->swapped);
    BOOST_TEST(!swap("k", created->revision, std::nullopt)->swapped);
    const auto read = get("k");
    BOOST_TEST(read->entries.at(0).value == "next");
    BOOST_TEST(swap("k", read->entries.at(0).modified, std::nullopt)->swapped);
    BOOST_TEST(get("k")->entries.empty());
    // A swap of a missing key at an old revision is refused without a current value.
    BOOST_TEST(!swap("k", created->revision, "x")->current.has_value());
}

// A range that extends beyond its prefix would mix the members of two zones.
BOOST_FIXTURE_TEST_CASE(listsAPrefixInKeyOrder, Fixture)
{
    for (const auto* key : { "az/b/2", "az/b/1", "az/c", "az/a/1" })
        swap(key, {}, "");
    const auto listed = wait<Listing>([&](auto callback) { store->list("az/b/", callback); });
    BOOST_REQUIRE(listed->entries.size() == 2U);
    BOOST_TEST(listed->entries[0].key == "az/b/1");
    BOOST_TEST(wait<Listing>([&](auto callback) { store->list("", callback); })->entries.size() == 4U);
    BOOST_TEST(listed->revision.value == 5U);
}

// A lapsed lease must be distinguishable from an outage: the daemon rejoins only after a lapse.
BOOST_FIXTURE_TEST_CASE(leasesAreGrantedRenewedAndRevoked, Fixture)
{
    const auto grant = wait<LeaseGrant>([&](auto callback) { store->grantLease(9500ms, callback); });
    BOOST_REQUIRE(grant.has_value());
    BOOST_TEST((grant->timeToLive == 10s));
    swap("m", {}, "x", grant->lease);
    BOOST_TEST(get("m")->entries.at(0).lease == grant->lease);
    BOOST_TEST(
        wait<LeaseGrant>([&](auto callback) { store->renewLease(grant->lease, callback); }).has_value());
    BOOST_TEST(wait<bool>([&](auto callback) { store->revokeLease(grant->lease, callback); }).value());
    BOOST_TEST(get("m")->entries.empty());
    BOOST_TEST(
        !wait<LeaseGrant>([&](auto callback) { store->renewLease(grant->lease, callback); }).has_value());
    BOOST_TEST((reason.kind == ErrorKind::NotFound));
    BOOST_TEST(!wait<bool>([&](auto callback) { store->revokeLease(grant->lease, callback); }).has_value());
    BOOST_TEST((reason.kind == ErrorKind::NotFound));
    BOOST_TEST(!swap("m", {}, "x", grant->lease).has_value());
    BOOST_TEST((reason.kind == ErrorKind::NotFound));
}

// A write whose response is lost has taken effect; it must not be reported as refused or sent again.
BOOST_FIXTURE_TEST_CASE(lostResponseIsReportedOnceAndTheWriteIsKept, Fixture)
{
    command("/lose", R"({"replies":1})");
    BOOST_TEST(!swap("k", {}, "x").has_value());
    BOOST_TEST((reason.kind == ErrorKind::Unavailable));
    const auto read = get("k");
    BOOST_TEST(read->entries.at(0).value == "x");
    BOOST_TEST(read->revision.value == 2U);
}

// An outage must end each call, and the store must be usable afterwards without a restart.
BOOST_FIXTURE_TEST_CASE(callsFailDuringOutagesAndSucceedAfterwards, Fixture)
{
    BOOST_TEST(get("k").has_value());
    command("/outage", R"({"mode":"refuse"})");
    BOOST_TEST(!get("k").has_value());
    BOOST_TEST((reason.kind == ErrorKind::Unavailable));
    command("/outage", R"({"mode":"stall"})");
    store = std::make_unique<EtcdStore>(ioContext, options(50ms));
    BOOST_TEST(!get("k").has_value());
    BOOST_TEST((reason.kind == ErrorKind::TimedOut));
    store = std::make_unique<EtcdStore>(ioContext, options(10s));
    command("/outage", R"({"mode":"off"})");
    BOOST_TEST(get("k").has_value());
    command("/cut", R"({"clients":["vm-1"]})");
    BOOST_TEST(!get("k").has_value());
    command("/cut", R"({"clients":["127.0.0.2"]})");
    BOOST_TEST(!get("k").has_value());
    command("/cut", R"({"clients":[]})");
    BOOST_TEST(get("k").has_value());
}

// A watch must report changes made between the listing and its start, and must report its own end.
BOOST_FIXTURE_TEST_CASE(watchReportsChangesAndItsEnd, Fixture)
{
    const auto start = get("w/").value().revision;
    swap("w/1", {}, "one");
    std::vector<KeyValue> seen;
    unsigned ends = 0;
    store->watch(
        "w/", start, [&](auto changes) { seen.insert(seen.end(), changes.begin(), changes.end()); },
        [&](const Error&) { ++ends; });
    runUntil([&] { return seen.size() == 1; });
    swap("v", {}, "not watched");
    const std::string large(300'000, 'x');
    const auto second = swap("w/2", {}, large);
    swap("w/2", second->revision, std::nullopt);
    runUntil([&] { return seen.size() == 3; });
    BOOST_TEST(seen[0].value == "one");
    BOOST_TEST((seen[1].value == large));
    BOOST_TEST(seen[1].modified == second->revision);
    BOOST_TEST(seen[2].key == "w/2");
    BOOST_TEST(seen[2].value.empty());
    BOOST_TEST(seen[2].modified.value == 0U);
    BOOST_TEST(ends == 0U);
    command("/cut", R"({"clients":["vm-1"]})");
    runUntil([&] { return ends == 1; });
    store.reset();
    ioContext.poll();
    BOOST_TEST(ends == 1U);
}

// A service restored from an older snapshot must be recognisable by its revisions and values.
BOOST_FIXTURE_TEST_CASE(restoredSnapshotHasOlderRevision, Fixture)
{
    const auto first = swap("k", {}, "old");
    command("/snapshot", R"({"name":"s"})");
    swap("k", first->revision, "new");
    command("/restore", R"({"name":"s"})");
    const auto read = get("k");
    BOOST_TEST(read->entries.at(0).value == "old");
    BOOST_TEST(read->revision == first->revision);
}

// Destroying the store must end its open calls, or their owners would wait forever.
BOOST_FIXTURE_TEST_CASE(destructionEndsOpenCalls, Fixture)
{
    command("/outage", R"({"mode":"stall"})");
    unsigned callbacks = 0;
    store->get("k", [&](auto, const Error& failure) {
        ++callbacks;
        reason = failure;
    });
    ioContext.poll();
    store.reset();
    BOOST_TEST(callbacks == 1U);
    BOOST_TEST((reason.kind == ErrorKind::Unavailable));
}

// Malformed answers must become typed errors and never values.
BOOST_FIXTURE_TEST_CASE(malformedAnswersAreTypedErrors, Fixture)
{
    std::string raw;
    tools::HttpServer server(ioContext, {}, [&](const auto& exchange) { exchange->replyRaw(raw); });
    auto wrong = options(10s);
    wrong.port = server.port();
    store = std::make_unique<EtcdStore>(ioContext, wrong);
    const auto wrap = [](const std::string& body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    for (const auto& answer : { std::string("no http at all\r\n\r\n"), wrap("{"), wrap("[]"), wrap("{}"),
             wrap(R"({"header":{"revision":"x"}})"), wrap(R"({"header":{"revision":7}})"),
             wrap(R"({"header":{"revision":"1"},"kvs":[{"key":"%%%%"}]})"),
             wrap(R"({"header":{"revision":"1"},"kvs":[{}]})"),
             wrap(R"({"header":{"revision":"1"},"kvs":5})") }) {
        raw = answer;
        BOOST_TEST(!get("k").has_value());
        BOOST_TEST((reason.kind == ErrorKind::MalformedMessage), toString(reason));
    }
    raw = wrap(R"({"header":{"revision":"1"}})"); // a refused swap without the current value
    BOOST_TEST(!swap("k", {}, "x").has_value());
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
    raw = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    BOOST_TEST(!get("k").has_value());
    BOOST_TEST((reason.kind == ErrorKind::Unavailable));
}
