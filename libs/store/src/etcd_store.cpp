#include "store/etcd_store.h"

#include "etcd_messages.h"
#include "store/http_client.h"

#include <map>

namespace banyancroft::store {

namespace {

/** Longest line of a watch stream: values of up to 1 MB in base64, several changes in one line. */
constexpr std::size_t maxWatchLineBytes = 16 * 1024 * 1024;

HttpClient::Options clientOptions(const EtcdStore::Options& options)
{
    HttpClient::Options result;
    result.address = options.address;
    result.port = options.port;
    result.localAddress = options.localAddress;
    if (!options.clientName.empty())
        result.headers.emplace_back("X-Client-Name", options.clientName);
    return result;
}

} // namespace

class EtcdStore::Impl {
public:
    Impl(boost::asio::io_context& ioContext, const Options& options)
        : deadline_(options.deadline)
        , client_(ioContext, clientOptions(options))
    {
    }

    template <typename Result, typename Parser>
    void call(std::string_view target, std::string&& body, Callback<Result> callback, Parser parser)
    {
        client_.call("POST", target, std::move(body), deadline_,
            [callback = std::move(callback), parser = std::move(parser)](
                std::optional<HttpResponse> response, const Error& failure) {
                if (!response)
                    return callback(std::nullopt, failure);
                if (response->status != 200)
                    return callback(std::nullopt, errorForStatus(response->status, response->body));
                Error reason;
                auto result = parser(response->body, reason);
                callback(std::move(result), reason);
            });
    }

    void watch(const std::string& prefix, Revision after,
        std::function<void(std::span<const KeyValue>)> onChange, std::function<void(const Error&)> onEnd)
    {
        if (const auto open = watches_.find(prefix); open != watches_.end()) {
            open->second.stop();
            watches_.erase(open);
        }
        const auto number = ++lastWatch_;
        auto& watch = watches_[prefix];
        watch.number = number;
        watch.onChange = std::move(onChange);
        watch.onEnd = std::move(onEnd);
        watch.stop = client_.stream(
            "/v3/watch", encodeWatch(prefix, after), deadline_,
            [this, prefix, number](std::string_view bytes) { receive(prefix, number, bytes); },
            [this, prefix, number](const Error& reason) { end(prefix, number, reason); });
    }

private:
    struct Watch {
        std::uint64_t number = 0;
        std::string line;
        std::function<void(std::span<const KeyValue>)> onChange;
        std::function<void(const Error&)> onEnd;
        std::function<void()> stop;
    };

    /** Finds a watch; nullptr when it ended or was replaced, which handlers may do. */
    Watch* find(const std::string& prefix, std::uint64_t number)
    {
        const auto found = watches_.find(prefix);
        return found != watches_.end() && found->second.number == number ? &found->second : nullptr;
    }

    void receive(const std::string& prefix, std::uint64_t number, std::string_view bytes)
    {
        auto* watch = find(prefix, number);
        if (!watch)
            return;
        watch->line.append(bytes);
        for (auto stop = watch->line.find('\n'); stop != std::string::npos; stop = watch->line.find('\n')) {
            const auto line = watch->line.substr(0, stop);
            watch->line.erase(0, stop + 1);
            if (line.empty())
                continue;
            Error reason;
            const auto parsed = parseWatchLine(line, reason);
            if (!parsed)
                return end(prefix, number, reason);
            if (parsed->changes.empty())
                continue;
            // Copied, since the handler may replace the watch that holds it.
            const auto onChange = watch->onChange;
            onChange(parsed->changes);
            watch = find(prefix, number);
            if (!watch)
                return;
        }
        if (watch->line.size() > maxWatchLineBytes) {
            end(prefix, number,
                { ErrorKind::MalformedMessage, "a line of the watch stream is longer than 16 MiB",
                    "check that --store names an etcd v3 JSON gateway" });
        }
    }

    void end(const std::string& prefix, std::uint64_t number, const Error& reason)
    {
        auto* watch = find(prefix, number);
        if (!watch)
            return;
        const auto ended = std::move(*watch);
        watches_.erase(prefix);
        ended.stop();
        ended.onEnd(reason);
    }

    Duration deadline_;
    std::map<std::string, Watch> watches_;
    std::uint64_t lastWatch_ = 0;
    // Declared last, since its destructor runs the handlers of open calls.
    HttpClient client_;
};

EtcdStore::EtcdStore(boost::asio::io_context& ioContext, const Options& options)
    : impl_(std::make_shared<Impl>(ioContext, options))
{
}

EtcdStore::~EtcdStore() = default;

void EtcdStore::get(std::string_view key, Callback<Listing> callback)
{
    impl_->call("/v3/kv/range", encodeGet(key), std::move(callback), parseRange);
}

void EtcdStore::list(std::string_view prefix, Callback<Listing> callback)
{
    impl_->call("/v3/kv/range", encodeList(prefix), std::move(callback), parseRange);
}

void EtcdStore::compareAndSwap(Swap swap, Callback<SwapResult> callback)
{
    impl_->call("/v3/kv/txn", encodeSwap(swap), std::move(callback), parseSwap);
}

void EtcdStore::grantLease(Duration timeToLive, Callback<LeaseGrant> callback)
{
    impl_->call("/v3/lease/grant", encodeLeaseGrant(timeToLive), std::move(callback), parseLeaseGrant);
}

void EtcdStore::renewLease(LeaseId lease, Callback<LeaseGrant> callback)
{
    impl_->call("/v3/lease/keepalive", encodeLeaseId(lease), std::move(callback), parseKeepAlive);
}

void EtcdStore::revokeLease(LeaseId lease, Callback<bool> callback)
{
    impl_->call("/v3/lease/revoke", encodeLeaseId(lease), std::move(callback),
        [](std::string_view body, Error& reason) -> std::optional<bool> {
            // The response holds only a header, like that of a range request without keys.
            if (!parseRange(body, reason))
                return std::nullopt;
            return true;
        });
}

void EtcdStore::watch(std::string_view prefix, Revision after,
    std::function<void(std::span<const KeyValue>)> onChange, std::function<void(const Error&)> onEnd)
{
    impl_->watch(std::string(prefix), after, std::move(onChange), std::move(onEnd));
}

} // namespace banyancroft::store
