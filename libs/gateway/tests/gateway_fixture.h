#pragma once

#include "fake_replica.h"
#include "gateway/event_loop.h"
#include "gateway/gateway.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace banyancroft::gateway {

/** In-memory store. Calls complete asynchronously on the io_context; polls do not wait for changes. */
class FakePolledStore : public store::PolledStore {
public:
    explicit FakePolledStore(boost::asio::io_context& ioContext)
        : ioContext_(ioContext)
    {
    }

    /** While true, all calls fail as unavailable. */
    bool isDown = false;
    std::map<std::string, store::KeyValue> keys;
    /** Removed keys, with the revision of the removal. */
    std::map<std::string, std::uint64_t> removals;
    std::uint64_t revision = 10;
    /** Limit on the changes in one poll response; the next poll returns the following ones. */
    std::size_t maxChangesPerPoll = 1000000;

    void set(const std::string& key, std::string value)
    {
        keys[key] = { key, std::move(value), { ++revision }, {} };
        removals.erase(key);
    }

    void remove(const std::string& key)
    {
        if (keys.erase(key) > 0)
            removals[key] = ++revision;
    }

    void list(std::string_view, store::Callback<store::Listing> callback) override
    {
        complete<store::Listing>(std::move(callback), [this] {
            store::Listing listing;
            for (const auto& [key, value] : keys)
                listing.entries.push_back(value);
            listing.revision = { revision };
            return listing;
        });
    }

    void pollChanges(
        std::string_view, store::Revision after, Duration, store::Callback<store::Listing> callback) override
    {
        complete<store::Listing>(std::move(callback), [this, after] {
            store::Listing changes;
            for (const auto& [key, value] : keys) {
                if (value.modified > after)
                    changes.entries.push_back(value);
            }
            for (const auto& [key, removedAt] : removals) {
                if (removedAt > after.value)
                    changes.entries.push_back({ key, {}, {}, {} });
            }
            changes.revision = { revision };
            if (changes.entries.size() <= maxChangesPerPoll)
                return changes;
            std::sort(changes.entries.begin(), changes.entries.end(),
                [](const auto& left, const auto& right) { return left.modified < right.modified; });
            changes.entries.resize(maxChangesPerPoll);
            changes.revision = changes.entries.back().modified;
            return changes;
        });
    }

    void put(std::string_view key, std::string value, store::LeaseId,
        store::Callback<store::Revision> callback) override
    {
        set(std::string(key), std::move(value));
        complete<store::Revision>(std::move(callback), [this] { return store::Revision { revision }; });
    }

    void putIf(std::string_view key, std::string value, store::LeaseId, store::Revision expectedRevision,
        store::Callback<store::Revision> callback) override
    {
        const auto found = keys.find(std::string(key));
        const auto current = found == keys.end() ? store::Revision() : found->second.modified;
        if (isDown || current == expectedRevision) {
            if (!isDown)
                set(std::string(key), std::move(value));
            return complete<store::Revision>(
                std::move(callback), [written = revision] { return store::Revision { written }; });
        }
        boost::asio::post(ioContext_, [callback = std::move(callback)] {
            callback(std::nullopt, { ErrorKind::Conflict, "revision differs", "read the key again" });
        });
    }

    void grantLease(Duration timeToLive, store::Callback<store::LeaseGrant> callback) override
    {
        complete<store::LeaseGrant>(std::move(callback), [timeToLive] {
            return store::LeaseGrant { { 5 }, timeToLive };
        });
    }

    void renewLease(store::LeaseId lease, store::Callback<store::LeaseGrant> callback) override
    {
        complete<store::LeaseGrant>(std::move(callback), [lease] {
            return store::LeaseGrant { lease, std::chrono::seconds(5) };
        });
    }

    void revokeLease(store::LeaseId, store::Callback<bool> callback) override
    {
        complete<bool>(std::move(callback), [] { return true; });
    }

private:
    template <typename Result> void complete(store::Callback<Result> callback, std::function<Result()> make)
    {
        boost::asio::post(ioContext_, [this, callback = std::move(callback), make = std::move(make)] {
            if (isDown)
                return callback(std::nullopt,
                    { ErrorKind::Unavailable, "store is down", "wait until the store is available" });
            callback(make(), {});
        });
    }

    boost::asio::io_context& ioContext_;
};

/** The response that a caller received. */
struct CallerResponse {
    /** Zero if the connection was closed without a response. */
    unsigned status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
    bool closed = false;
};

/** Blocking HTTP client with one connection, for use on a thread of its own. */
class Caller {
public:
    explicit Caller(std::uint16_t port)
    {
        socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    void write(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }

    CallerResponse read()
    {
        CallerResponse response;
        http::MessageReader reader(http::MessageReader::Kind::Response, {});
        std::array<char, 4096> chunk {};
        boost::system::error_code failure;
        const auto parse = [&] {
            std::size_t consumed = 0;
            const auto state = reader.read(readBuffer_, consumed);
            readBuffer_.erase(0, consumed);
            return state;
        };
        auto state = readBuffer_.empty() ? http::ReadState::Incomplete : parse();
        while (state == http::ReadState::Incomplete) {
            const auto count = socket_.read_some(boost::asio::buffer(chunk), failure);
            if (failure) {
                response.closed = true;
                return response;
            }
            readBuffer_.append(chunk.data(), count);
            state = parse();
        }
        response.status = reader.response().status;
        for (std::size_t i = 0; i < reader.response().fields.size(); ++i) {
            const auto field = reader.response().fields.at(i);
            response.fields[std::string(field.name)] = std::string(field.value);
        }
        response.body = reader.body();
        return response;
    }

    CallerResponse call(const std::string& text)
    {
        write(text);
        return read();
    }

    void close() { socket_.close(); }

private:
    boost::asio::io_context ioContext_;
    boost::asio::ip::tcp::socket socket_ { ioContext_ };
    /** Bytes of the next response. */
    std::string readBuffer_;
};

/** Runs a gateway with scripted replicas and an in-memory store on the loopback interface. */
class GatewayFixture {
public:
    GatewayFixture()
        : store(ioContext)
    {
        dialect.headers = { "Request-Id", "Deadline", "Signature", "Expect", "Load", "Not-Run", "Retry-After",
            "Upstream", "Cold", "Parts", "Lacking", "Leaving", "Authorization", "Customer" };
        dialect.keyScheme = "Token";
        dialect.readyPath = "/ready";
        dialect.parseLoad = [](std::string_view) { return std::optional<upstreams::ReportedLoad>(); };
        settings.vm = VmId("vm-1");
        settings.zone = AvailabilityZone("a");
        settings.callers = { "127.0.0.1", freePort() };
        settings.readiness = { "127.0.0.1", freePort() };
        settings.metrics = { "127.0.0.1", freePort() };
        settings.retries = { 0.2, std::chrono::seconds(10), 1000 };
        settings.maxPropagationDelay = std::chrono::milliseconds(100);
        settings.stopGrace = std::chrono::seconds(2);
        layout.memberPrefix = "vms/";
        layout.decode = [this](const store::KeyValue& entry, Error&) { return decode(entry.key); };
        layout.encodeMember = [](const MemberRecord&) { return std::string("{}"); };
        layout.decodeRemoval = [](std::string_view) { return StoreItem(IgnoredKey {}); };
    }

    FakeReplica& replica(const std::string& service, const std::string& name, FakeReplica::Script script)
    {
        replicas.push_back(std::make_unique<FakeReplica>(ioContext, name, std::move(script)));
        upstreams::UpstreamRecord record;
        record.id = UpstreamId(name);
        record.service = ServiceId(service);
        record.address = "127.0.0.1";
        record.port = replicas.back()->port();
        record.zone = settings.zone;
        record.slots = 3;
        records["replica/" + name] = record;
        store.set("replica/" + name, "");
        return *replicas.back();
    }

    void configure(routing::Configuration next)
    {
        configuration = std::move(next);
        store.set("configuration", "");
    }

    /** Runs `callerPart` on a separate thread, and the gateway on this one until `callerPart` returns. */
    template <typename Result> Result runCaller(std::function<Result()> callerPart)
    {
        if (!gateway) {
            Error reason;
            gateway = std::make_unique<Gateway>(ioContext, settings, dialect, layout, store);
            if (!gateway->start(reason))
                throw std::runtime_error(toString(reason));
        }
        auto result = std::async(std::launch::async, std::move(callerPart));
        // Fails the test instead of hanging if the gateway does not respond.
        const auto timeLimit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            if (std::chrono::steady_clock::now() > timeLimit) {
                // Closes the connections that the caller part may be reading from.
                gateway.reset();
                throw std::runtime_error("caller part of the test did not finish within 30 s");
            }
            runGuarded([this] { ioContext.run_for(std::chrono::milliseconds(5)); },
                [this](std::string_view) { ++handlerErrors; });
        }
        return result.get();
    }

    /** Waits until the gateway is ready, then sends one request. */
    CallerResponse callWhenReady(const std::string& text)
    {
        return runCaller<CallerResponse>([this, text] {
            waitUntilReady();
            return Caller(settings.callers.port).call(text);
        });
    }

    void waitUntilReady() const
    {
        while (Caller(settings.readiness.port).call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status != 200)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    /** Waits until the relay address serves the view of the store. */
    void waitUntilServing() const
    {
        while (Caller(settings.relay.port).call("GET /changes?after=0 HTTP/1.1\r\nHost: x\r\n\r\n").status
            != 200)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    static std::string request(const std::string& path, const std::string& id, int deadlineMillis = 5000)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
            + "\r\nDeadline: " + std::to_string(deadlineMillis) + "\r\n\r\n";
    }

    /** Returns a signed success response of a replica. */
    static std::string signedResponse(
        const http::RequestHead& head, const std::string& signature, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(*head.fields.find("Request-Id"))
            + "\r\nSignature: " + signature + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    /** Reserves a port for the lifetime of the fixture: a bound socket keeps other processes from taking it,
     * and since it does not listen, the gateway can bind it as well. */
    std::uint16_t freePort()
    {
        using boost::asio::ip::tcp;
        auto& socket = reservedPorts_.emplace_back(ioContext, tcp::v4());
        socket.set_option(tcp::socket::reuse_address(true));
        socket.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
        return socket.local_endpoint().port();
    }

    boost::asio::io_context ioContext { 1 };
    FakePolledStore store;
    Settings settings;
    Dialect dialect;
    StoreLayout layout;
    routing::Configuration configuration;
    std::map<std::string, upstreams::UpstreamRecord> records;
    std::vector<std::unique_ptr<FakeReplica>> replicas;
    std::unique_ptr<Gateway> gateway;
    /** Exceptions that handlers have thrown. */
    int handlerErrors = 0;

private:
    std::vector<boost::asio::ip::tcp::socket> reservedPorts_;

    std::optional<StoreItem> decode(const std::string& key)
    {
        if (key == "configuration")
            return StoreItem(configuration);
        if (const auto found = records.find(key); found != records.end())
            return StoreItem(upstreams::RegistryChange { found->second.id, found->second });
        if (key.starts_with("vms/"))
            return StoreItem(MemberChange { VmId(key.substr(4)), MemberRecord { settings.zone, {} } });
        return StoreItem(IgnoredKey {});
    }
};

} // namespace banyancroft::gateway
