#pragma once

#include "fake_replica.h"
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

/** A store in memory whose keys a test writes; polls answer at the next turn of the io_context. */
class FakePolledStore : public store::PolledStore {
public:
    explicit FakePolledStore(boost::asio::io_context& ioContext)
        : ioContext_(ioContext)
    {
    }

    /** While true, all calls fail as if the store were down. */
    bool isDown = false;
    std::map<std::string, store::KeyValue> keys;
    std::uint64_t revision = 10;
    /** Most changes in one answer; the others come with the next question. */
    std::size_t mostChanges = 1000000;

    void set(const std::string& key, std::string value)
    {
        keys[key] = { key, std::move(value), { ++revision }, {} };
    }

    void list(std::string_view, store::Callback<store::Listing> callback) override
    {
        answer<store::Listing>(std::move(callback), [this] {
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
        answer<store::Listing>(std::move(callback), [this, after] {
            store::Listing changes;
            for (const auto& [key, value] : keys) {
                if (value.modified > after)
                    changes.entries.push_back(value);
            }
            changes.revision = { revision };
            if (changes.entries.size() <= mostChanges)
                return changes;
            std::sort(changes.entries.begin(), changes.entries.end(),
                [](const auto& left, const auto& right) { return left.modified < right.modified; });
            changes.entries.resize(mostChanges);
            changes.revision = changes.entries.back().modified;
            return changes;
        });
    }

    void put(std::string_view key, std::string value, store::LeaseId,
        store::Callback<store::Revision> callback) override
    {
        set(std::string(key), std::move(value));
        answer<store::Revision>(std::move(callback), [this] { return store::Revision { revision }; });
    }

    void grantLease(Duration timeToLive, store::Callback<store::LeaseGrant> callback) override
    {
        answer<store::LeaseGrant>(std::move(callback), [timeToLive] {
            return store::LeaseGrant { { 5 }, timeToLive };
        });
    }

    void renewLease(store::LeaseId lease, store::Callback<store::LeaseGrant> callback) override
    {
        answer<store::LeaseGrant>(std::move(callback), [lease] {
            return store::LeaseGrant { lease, std::chrono::seconds(5) };
        });
    }

    void revokeLease(store::LeaseId, store::Callback<bool> callback) override
    {
        answer<bool>(std::move(callback), [] { return true; });
    }

private:
    template <typename Result> void answer(store::Callback<Result> callback, std::function<Result()> make)
    {
        boost::asio::post(ioContext_, [this, callback = std::move(callback), make = std::move(make)] {
            if (isDown)
                return callback(std::nullopt, { ErrorKind::Unavailable, "down", "wait" });
            callback(make(), {});
        });
    }

    boost::asio::io_context& ioContext_;
};

/** What a caller got. */
struct CallerAnswer {
    /** Zero when the connection ended without an answer. */
    unsigned status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
    bool closed = false;
};

/** A caller on its own thread, with one connection and blocking calls. */
class Caller {
public:
    explicit Caller(std::uint16_t port)
    {
        socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    void write(const std::string& text) { boost::asio::write(socket_, boost::asio::buffer(text)); }

    CallerAnswer read()
    {
        CallerAnswer answer;
        http::MessageReader reader(http::MessageReader::Kind::Response, {});
        std::string inbox;
        std::array<char, 4096> chunk {};
        boost::system::error_code failure;
        auto state = http::ReadState::Incomplete;
        while (state == http::ReadState::Incomplete) {
            const auto count = socket_.read_some(boost::asio::buffer(chunk), failure);
            if (failure) {
                answer.closed = true;
                return answer;
            }
            inbox.append(chunk.data(), count);
            std::size_t consumed = 0;
            state = reader.read(inbox, consumed);
            inbox.erase(0, consumed);
        }
        answer.status = reader.response().status;
        for (std::size_t i = 0; i < reader.response().fields.size(); ++i) {
            const auto field = reader.response().fields.at(i);
            answer.fields[std::string(field.name)] = std::string(field.value);
        }
        answer.body = reader.body();
        return answer;
    }

    CallerAnswer call(const std::string& text)
    {
        write(text);
        return read();
    }

    void close() { socket_.close(); }

private:
    boost::asio::io_context ioContext_;
    boost::asio::ip::tcp::socket socket_ { ioContext_ };
};

/** A gateway with scripted replicas and a store in memory, on loopback. */
class GatewayWorld {
public:
    GatewayWorld()
        : store(ioContext)
    {
        dialect.headers = { "Request-Id", "Deadline", "Signature", "Expect", "Load", "Not-Run", "Retry-After",
            "Upstream", "Cold", "Parts", "Lacking" };
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

    /** Runs the caller's part on a thread of its own and the gateway on this one until it returns. */
    template <typename Result> Result play(std::function<Result()> callerPart)
    {
        if (!gateway) {
            Error reason;
            gateway = std::make_unique<Gateway>(ioContext, settings, dialect, layout, store);
            if (!gateway->start(reason))
                throw std::runtime_error(toString(reason));
        }
        auto result = std::async(std::launch::async, std::move(callerPart));
        // A fault of the gateway must end the test and not hang it.
        const auto giveUp = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
            if (std::chrono::steady_clock::now() > giveUp)
                throw std::runtime_error("the caller got no answer within 30 s");
            ioContext.run_for(std::chrono::milliseconds(5));
        }
        return result.get();
    }

    /** Calls until the gateway has its configuration. */
    CallerAnswer callWhenReady(const std::string& text)
    {
        return play<CallerAnswer>([this, text] {
            waitUntilReady();
            return Caller(settings.callers.port).call(text);
        });
    }

    void waitUntilReady() const
    {
        while (Caller(settings.readiness.port).call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status != 200)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    /** Waits until the relay address tells the view of the store. */
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

    /** A signed success of a replica. */
    static std::string signedAnswer(
        const http::RequestHead& head, const std::string& signature, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(*head.fields.find("Request-Id"))
            + "\r\nSignature: " + signature + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    std::uint16_t freePort()
    {
        boost::asio::ip::tcp::acceptor probe(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        return probe.local_endpoint().port();
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

private:
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
