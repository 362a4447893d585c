#pragma once

#include "http_server/http_server.h"
#include "upstream_emulator/replica.h"

#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::tools {

/**
 * Serves the HTTP interface of one emulated upstream: /search, /submit, /cancel and /health. Must be used on
 * the thread of its io_context.
 */
class ReplicaServer {
public:
    ReplicaServer(boost::asio::io_context& ioContext, Replica::Settings settings, const std::string& address,
        std::uint16_t port, Duration connectTime);
    ~ReplicaServer();
    ReplicaServer(const ReplicaServer&) = delete;
    ReplicaServer& operator=(const ReplicaServer&) = delete;

    std::uint16_t port() const { return http_.port(); }
    /** Executes an admin command. @return empty, or the error */
    std::string command(const std::string& name, const nlohmann::json& body);
    nlohmann::json counters();
    void resetCounters() { replica_.resetCounters(); }

private:
    struct ActiveRequest;

    void receive(const std::shared_ptr<HttpExchange>& exchange);
    void search(const std::shared_ptr<HttpExchange>& exchange);
    void submit(const std::shared_ptr<HttpExchange>& exchange);
    void cancel(HttpExchange& exchange);
    void start(Replica::RequestKind kind, const std::shared_ptr<HttpExchange>& exchange, HttpReply reply);
    void finish(const std::shared_ptr<ActiveRequest>& active, HttpReply reply, bool answered);
    bool shedRequest(HttpExchange& exchange);
    void restart(const nlohmann::json& body);
    std::vector<HttpHeader> stateHeaders() const;
    nlohmann::json health();

    boost::asio::io_context& ioContext_;
    Replica replica_;
    std::map<std::uint64_t, std::shared_ptr<ActiveRequest>> activeRequests_;
    std::uint64_t lastRequestNumber_ = 0;
    double shedPercent_ = 0;
    unsigned malformedReplies_ = 0;
    bool stalled_ = false;
    /** Fields that replace those of the /health report. */
    nlohmann::json healthOverride_ = nlohmann::json::object();
    std::string servedIndexText_;
    // Declared last: its destructor closes connections, whose handlers use the members above.
    HttpServer http_;
};

} // namespace banyancroft::tools
