#pragma once

#include "gateway_fixture.h"
#include "handover/frames.h"

#include <memory>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/** Several gateways of one availability zone in one process, each on an io_context of its own, with scripted
 * replicas and a common store. */
class GatewayFleet : public GatewayFixture {
public:
    struct Vm {
        boost::asio::io_context ioContext { 1 };
        Settings settings;
        std::unique_ptr<store::PolledStore> store;
        std::unique_ptr<Gateway> gateway;
        /** While true, the VM does nothing; its connections stay open. */
        bool isFrozen = false;
    };

    GatewayFleet()
    {
        // Long enough that a small VM waits for the registrations of larger ones.
        settings.maxPropagationDelay = std::chrono::milliseconds(1000);
        settings.minDispatchersPerZone = 1;
        layout.encodeMember = [](const MemberRecord& record) {
            return std::to_string(record.relay.port) + " " + std::to_string(record.handover.port) + " "
                + std::to_string(record.processors);
        };
        layout.decode
            = [this](const store::KeyValue& entry, Error& reason) { return decodeEntry(entry, reason); };
        layout.decodeRemoval = [this](std::string_view key) {
            if (key.starts_with(layout.memberPrefix))
                return StoreItem(
                    MemberChange { VmId(std::string(key.substr(layout.memberPrefix.size()))), {} });
            return StoreItem(IgnoredKey {});
        };
    }

    /** Starts a gateway and waits until it is ready and, with `registers`, registered as a dispatcher. */
    Vm& addVm(const std::string& name, double processors, bool registers)
    {
        vms.push_back(std::make_unique<Vm>());
        auto& vm = *vms.back();
        vm.settings = settings;
        vm.settings.vm = VmId(name);
        vm.settings.processors = processors;
        for (auto* address : { &vm.settings.callers, &vm.settings.readiness, &vm.settings.metrics,
                 &vm.settings.relay, &vm.settings.handover })
            *address = { "127.0.0.1", freePort() };
        vm.store = std::make_unique<StoreOfVm>(vm.ioContext, store);
        vm.gateway = std::make_unique<Gateway>(vm.ioContext, vm.settings, dialect, layout, *vm.store);
        Error reason;
        if (!vm.gateway->start(reason))
            throw std::runtime_error(toString(reason));
        runCallers<int>([&vm] {
            while (Caller(vm.settings.readiness.port).call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status
                != 200)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            return 0;
        });
        if (registers)
            runUntil([&] { return store.keys.contains(layout.memberPrefix + name); });
        return vm;
    }

    /** Runs `callerPart` on a separate thread and the fleet on this one until `callerPart` returns. */
    template <typename Result> Result runCallers(std::function<Result()> callerPart)
    {
        auto result = std::async(std::launch::async, std::move(callerPart));
        runUntil([&] { return result.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
        return result.get();
    }

    CallerResponse call(const Vm& vm, const std::string& text)
    {
        return runCallers<CallerResponse>([&] { return Caller(vm.settings.callers.port).call(text); });
    }

    void runFor(Duration time)
    {
        const auto end = BootClock::now() + time;
        runUntil([end] { return BootClock::now() >= end; });
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const auto timeLimit = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!condition()) {
            if (std::chrono::steady_clock::now() > timeLimit)
                throw std::runtime_error("condition of the test was not met within 30 s");
            for (const auto& vm : vms) {
                if (!vm->isFrozen)
                    vm->ioContext.poll();
            }
            ioContext.run_for(std::chrono::milliseconds(1));
            ioContext.restart();
        }
    }

    /** Value of a metric without labels. */
    double metric(const Vm& vm, const std::string& name)
    {
        const auto body = runCallers<CallerResponse>([&] {
            return Caller(vm.settings.metrics.port).call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        }).body;
        const auto at = body.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(body.substr(at + name.size() + 2));
    }

    /** Waits until the VM hands its requests over. */
    void waitUntilHandingOver(const Vm& vm)
    {
        runUntil([&] {
            call(vm, request("/none/", "probe"));
            call(vm, request("/lookup/probe", "probe"));
            return metric(vm, "banyancroft_handover_accepted_total") > 0;
        });
    }

    std::vector<std::unique_ptr<Vm>> vms;

private:
    /** The common store, with responses on the io_context of one VM. */
    class StoreOfVm : public store::PolledStore {
    public:
        StoreOfVm(boost::asio::io_context& ioContext, FakePolledStore& shared)
            : ioContext_(ioContext)
            , shared_(shared)
        {
        }

        void list(std::string_view prefix, store::Callback<store::Listing> callback) override
        {
            shared_.list(prefix, onVm(std::move(callback)));
        }
        void pollChanges(std::string_view prefix, store::Revision after, Duration wait,
            store::Callback<store::Listing> callback) override
        {
            shared_.pollChanges(prefix, after, wait, onVm(std::move(callback)));
        }
        void put(std::string_view key, std::string value, store::LeaseId lease,
            store::Callback<store::Revision> callback) override
        {
            key_ = std::string(key);
            shared_.put(key, std::move(value), lease, onVm(std::move(callback)));
        }
        void putIf(std::string_view key, std::string value, store::LeaseId lease,
            store::Revision expectedRevision, store::Callback<store::Revision> callback) override
        {
            shared_.putIf(key, std::move(value), lease, expectedRevision, onVm(std::move(callback)));
        }
        void grantLease(Duration timeToLive, store::Callback<store::LeaseGrant> callback) override
        {
            shared_.grantLease(timeToLive, onVm(std::move(callback)));
        }
        void renewLease(store::LeaseId lease, store::Callback<store::LeaseGrant> callback) override
        {
            shared_.renewLease(lease, onVm(std::move(callback)));
        }
        void revokeLease(store::LeaseId lease, store::Callback<bool> callback) override
        {
            shared_.remove(key_);
            shared_.revokeLease(lease, onVm(std::move(callback)));
        }

    private:
        template <typename Result> store::Callback<Result> onVm(store::Callback<Result> callback)
        {
            return [this, callback = std::move(callback)](std::optional<Result> result, const Error& reason) {
                boost::asio::post(ioContext_, [callback, result, reason] { callback(result, reason); });
            };
        }

        boost::asio::io_context& ioContext_;
        FakePolledStore& shared_;
        std::string key_;
    };

    std::optional<StoreItem> decodeEntry(const store::KeyValue& entry, Error&)
    {
        if (entry.key == "configuration")
            return StoreItem(configuration);
        if (const auto found = records.find(entry.key); found != records.end())
            return StoreItem(upstreams::RegistryChange { found->second.id, found->second });
        if (!entry.key.starts_with(layout.memberPrefix))
            return StoreItem(IgnoredKey {});
        std::istringstream text(entry.value);
        MemberRecord record { settings.zone, { "127.0.0.1", 0 }, { "127.0.0.1", 0 }, 1 };
        text >> record.relay.port >> record.handover.port >> record.processors;
        return StoreItem(MemberChange { VmId(entry.key.substr(layout.memberPrefix.size())), record });
    }
};

/** Blocking client that speaks to the handover address of a gateway, for use on a thread of its own. */
class FrameClient {
public:
    explicit FrameClient(std::uint16_t port)
    {
        socket_.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    void send(const handover::Frame& frame) { write(handover::encode(frame)); }
    void write(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }

    /** Next frame other than a status; empty once the connection is closed. */
    std::optional<handover::Frame> read()
    {
        std::array<char, 4096> chunk {};
        Error reason;
        while (true) {
            while (auto frame = reader_.next(reason)) {
                if (!std::holds_alternative<handover::Status>(*frame))
                    return frame;
            }
            boost::system::error_code failure;
            const auto count = socket_.read_some(boost::asio::buffer(chunk), failure);
            if (failure || reason)
                return std::nullopt;
            reader_.append({ chunk.data(), count });
        }
    }

private:
    boost::asio::io_context ioContext_;
    boost::asio::ip::tcp::socket socket_ { ioContext_ };
    handover::FrameReader reader_ { 1024 * 1024 };
};

} // namespace banyancroft::gateway
