#include "routing/configuration_check.h"

#include "routing/route_table.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <unordered_set>
#include <utility>

namespace banyancroft::routing {

namespace {

/** Numbers above these are errors of the writer. */
constexpr unsigned maxUpstreamsLimit = 1'000;
constexpr unsigned maxConnectionsLimit = 1'000'000;
constexpr unsigned maxPriority = 1'000'000;
constexpr std::size_t maxRecordsLimit = 1'000'000;
constexpr std::size_t maxBytesLimit = std::size_t { 1 } << 30U;

std::string milliseconds(Duration duration) { return formatNumber(toMillis(duration)) + " ms"; }

std::string nameOf(const Route& route) { return "route " + quoted(route.name); }
std::string nameOf(const Service& service) { return "service " + quoted(service.id.view()); }
std::string nameOf(const Customer& customer) { return "customer " + quoted(customer.id.view()); }

/** True if a caller can send the key in a header field. */
bool canBeSent(std::string_view key)
{
    return !key.empty() && key.front() != ' ' && key.back() != ' '
        && std::all_of(key.begin(), key.end(), [](char c) { return c >= ' ' && c != '\x7f'; });
}

/** The greatest coverage with three decimals that lets one shard be missing. */
std::string coverageWithoutOne(std::size_t shards)
{
    const auto all = static_cast<double>(shards);
    return formatNumber(std::floor((all - 1) / all * 1000) / 1000);
}

/** Names the first services of a list, and the number of the others. */
std::string listOf(const std::vector<const ServiceId*>& services)
{
    constexpr std::size_t maxNamed = 5;
    std::string result;
    for (std::size_t i = 0; i < std::min(services.size(), maxNamed); ++i)
        result += (i == 0 ? "" : ", ") + quoted(services[i]->view());
    if (services.size() > maxNamed)
        result += " and " + std::to_string(services.size() - maxNamed) + " others";
    return result;
}

/** Calls `visit` for each service that may receive requests of the route. */
template <typename Visitor> void forEachTarget(const Route& route, Visitor visit)
{
    for (const auto& service : route.gather.shards)
        visit(service);
    for (const auto& entry : route.split) {
        if (entry.weight > 0)
            visit(entry.service);
    }
}

class Checker {
public:
    Checker(const Configuration& configuration, const ReplicaCounts* replicas)
        : table_(configuration)
        , configuration_(table_.configuration())
        , replicas_(replicas)
    {
    }

    std::vector<Finding> run()
    {
        checkVersionNumber();
        checkCallerLimits();
        checkNames(configuration_.routes, Severity::Note, "log lines and metrics do not tell them apart");
        for (const auto& route : configuration_.routes)
            checkRoute(route);
        checkNames(configuration_.services, Severity::Warning, "only the first one is used");
        for (const auto& service : configuration_.services)
            checkService(service);
        checkNames(configuration_.customers, Severity::Warning, "the limit of the first one is used");
        checkCustomers();
        checkTotalRate();
        return std::move(findings_);
    }

private:
    void add(Severity severity, std::string place, std::string field, std::string message, std::string remedy)
    {
        findings_.push_back(
            { severity, std::move(place), std::move(field), std::move(message), std::move(remedy) });
    }

    template <typename Number>
    void checkMaximum(const std::string& place, const char* field, Number value, Number maximum)
    {
        if (value > maximum)
            add(Severity::Error, place, field,
                formatNumber(static_cast<double>(value)) + " is above "
                    + formatNumber(static_cast<double>(maximum)),
                "give the number that is meant");
    }

    template <typename Entry>
    void checkNames(const std::vector<Entry>& entries, Severity severity, const char* consequence)
    {
        std::unordered_set<std::string> names;
        for (const auto& entry : entries) {
            auto name = nameOfEntry(entry);
            if (name.empty())
                add(severity, nameOf(entry), "name", "the name is empty", "give it a name");
            if (!names.insert(std::move(name)).second)
                add(severity, nameOf(entry), "name",
                    std::string("several entries have this name; ") + consequence,
                    "rename or remove one of them");
        }
    }
    static std::string nameOfEntry(const Route& route) { return route.name; }
    template <typename Entry> static std::string nameOfEntry(const Entry& entry) { return entry.id.str(); }

    std::size_t replicasOf(const ServiceId& service) const
    {
        const auto found = replicas_->find(service);
        return found == replicas_->end() ? 0 : found->second;
    }

    void checkVersionNumber()
    {
        if (!configuration_.version)
            add(Severity::Warning, "", "version", "version 0 is never newer than another one",
                "start with 1");
        if (configuration_.routes.empty())
            add(Severity::Warning, "", "", "there are no routes, so every request is refused", "add routes");
    }

    void checkCallerLimits()
    {
        const auto& limits = configuration_.limits;
        const std::string place = "limits for callers";
        if (limits.bodyBytes == 0)
            add(Severity::Warning, place, "body size", "a body limit of 0 refuses every request with a body",
                "give the size of the largest body in bytes");
        if (limits.headerBytes == 0)
            add(Severity::Warning, place, "header size", "a header limit of 0 refuses every request",
                "give the size of the largest header in bytes");
        checkMaximum(place, "body size", limits.bodyBytes, maxBytesLimit);
        checkMaximum(place, "header size", limits.headerBytes, maxBytesLimit);
        for (const auto& [field, value] : { std::pair { "header timeout", limits.headerTimeout },
                 { "idle timeout", limits.idleTimeout } }) {
            if (value <= Duration::zero())
                add(Severity::Warning, place, field, "a time of 0 closes connections at once",
                    "give it some seconds");
        }
    }

    void checkRoute(const Route& route)
    {
        const bool isReachable = checkMatch(route);
        checkTargets(route, isReachable);
        checkTimes(route);
        if (route.isGather())
            checkGather(route);
        if (route.maxUpstreams == 0)
            add(Severity::Warning, nameOf(route), "maximum of replicas", "0 counts as 1", "give 1 or more");
        checkMaximum(nameOf(route), "maximum of replicas", route.maxUpstreams, maxUpstreamsLimit);
        checkMaximum(nameOf(route), "priority", route.priority, maxPriority);
    }

    /** Asks the table for the request that the route is written for. */
    bool checkMatch(const Route& route)
    {
        const std::string_view prefix = route.pathPrefix;
        if (!prefix.starts_with('/') || !prefix.ends_with('/') || prefix.find_first_of("?#") != prefix.npos) {
            add(Severity::Warning, nameOf(route), "path prefix",
                quoted(prefix) + " can never match: a prefix begins and ends with a slash and has no query",
                "correct the prefix");
            return false;
        }
        if (route.host.empty() || route.host.find_first_of("*/ ") != std::string::npos) {
            add(Severity::Warning, nameOf(route), "host",
                quoted(route.host) + " is no host name; there are no wildcards",
                "give the host name that callers use");
            return false;
        }
        const auto* matched = table_.match(route.host, prefix);
        if (!matched || matched == &route)
            return true;
        add(Severity::Warning, nameOf(route), "",
            "hidden by " + nameOf(*matched) + ", which is listed earlier with the same host and path prefix",
            "remove one of them or change host or prefix");
        return false;
    }

    void checkTargets(const Route& route, bool isReachable)
    {
        const auto place = nameOf(route);
        bool hasTarget = false;
        std::vector<const ServiceId*> undeclared;
        std::vector<const ServiceId*> few;
        forEachTarget(route, [&](const ServiceId& service) {
            hasTarget = true;
            if (isReachable)
                used_.insert(service);
            if (!table_.service(service))
                undeclared.push_back(&service);
            // A service without any replica is a finding of its own.
            if (replicas_ && replicasOf(service) > 0 && replicasOf(service) < route.maxUpstreams)
                few.push_back(&service);
        });
        for (const auto& entry : route.split) {
            if (isReachable)
                mentioned_.insert(entry.service);
            if (entry.weight < 0)
                add(Severity::Error, place, "weight",
                    "the weight of service " + quoted(entry.service.view()) + " is negative",
                    "give 0 or more");
        }
        if (!hasTarget)
            add(Severity::Warning, place, "weight",
                route.split.empty() ? "the route has no service" : "the weights of all services are 0",
                "give one of its services a positive weight, or remove the route");
        if (!undeclared.empty())
            add(Severity::Warning, place, "service",
                listOf(undeclared) + " not declared; a single connection per replica is assumed",
                "declare the service or correct its name");
        if (!few.empty())
            add(Severity::Warning, place, "maximum of replicas",
                std::to_string(route.maxUpstreams) + " is above the number of replicas of " + listOf(few),
                "lower it or add replicas");
    }

    void checkTimes(const Route& route)
    {
        if (route.timeout <= Duration::zero()) {
            add(Severity::Warning, nameOf(route), "timeout", "a timeout of 0 leaves no time for an answer",
                "give the time that callers wait");
        } else if (route.timeout < route.latencyObjective) {
            add(Severity::Warning, nameOf(route), "timeout",
                milliseconds(route.timeout) + " is below the latency objective of "
                    + milliseconds(route.latencyObjective),
                "raise the timeout or lower the objective");
        }
    }

    void checkGather(const Route& route)
    {
        const auto place = nameOf(route);
        const auto& gather = route.gather;
        const auto shards = gather.shards.size();
        const auto coverage = formatNumber(gather.minCoverage);
        if (!(gather.minCoverage >= 0 && gather.minCoverage <= 1)) {
            add(Severity::Error, place, "minimum coverage", coverage + " is not a fraction from 0 to 1",
                "give a fraction such as 0.9");
        } else if (gather.minCoverage < 1 && requiredShards(shards, gather.minCoverage) == shards) {
            add(Severity::Warning, place, "minimum coverage",
                coverage + " of " + std::to_string(shards)
                    + (shards == 1 ? " shard means that shard" : " shards means all of them"),
                shards == 1
                    ? "give 1"
                    : "give 1, or at most " + coverageWithoutOne(shards) + " if one shard may be missing");
        }
        if (gather.topRecords == 0)
            add(Severity::Warning, place, "maximum of records", "0 makes every answer empty",
                "give the number of records that callers need");
        checkMaximum(place, "maximum of records", gather.topRecords, maxRecordsLimit);
        std::unordered_set<ServiceId> distinct(gather.shards.begin(), gather.shards.end());
        if (distinct.size() < shards)
            add(Severity::Warning, place, "shards",
                std::to_string(shards - distinct.size()) + " of the services are listed more than once",
                "list each service once");
    }

    void checkService(const Service& service)
    {
        const auto place = nameOf(service);
        if (used_.count(service.id) == 0) {
            const bool isMentioned = mentioned_.count(service.id) > 0;
            add(isMentioned ? Severity::Note : Severity::Warning, place, "",
                isMentioned ? "every route gives this service weight 0"
                            : "no route that requests can match uses this service",
                "remove the service or add it to a route");
        }
        if (replicas_ && replicasOf(service.id) == 0)
            add(Severity::Warning, place, "", "no replica that takes requests is registered",
                "start replicas, or remove the service from the routes");
        if (service.maxConnections == 0)
            add(Severity::Warning, place, "connections",
                "a replica that accepts no connection gets no request",
                "give the number of connections that a replica accepts");
        checkMaximum(place, "connections", service.maxConnections, maxConnectionsLimit);
        if (service.coldFor < Duration::zero() || service.coldRequestsPerSecond < 0)
            add(Severity::Error, place, "cold start", "time or rate is negative", "give 0 or more");
        if (service.coldRequestsPerSecond > 0 && service.coldFor == Duration::zero())
            add(Severity::Note, place, "cold start",
                "the rate limit of cold replicas has no declared time; replicas state it themselves",
                "give the time if replicas do not state it");
    }

    void checkCustomers()
    {
        if (configuration_.requiresKeys && configuration_.customers.empty())
            add(Severity::Warning, "", "customers", "the list is empty, so only public routes can be used",
                "add customers, or remove the list if no keys are wanted");
        for (const auto& customer : configuration_.customers) {
            const auto place = nameOf(customer);
            if (customer.keys.empty())
                add(Severity::Warning, place, "keys", "a customer without keys cannot send requests",
                    "add a key or remove the customer");
            checkLimit(customer);
            checkKeys(customer);
        }
    }

    void checkLimit(const Customer& customer)
    {
        const bool hasRate = customer.requestsPerSecond > 0;
        if (hasRate && customer.burst <= 0) {
            add(Severity::Warning, nameOf(customer), "burst",
                "there is a rate without a burst; requests that arrive together are refused", "give a burst");
        } else if (hasRate && customer.burst < 1) {
            add(Severity::Warning, nameOf(customer), "burst",
                formatNumber(customer.burst) + " is below 1 and counts as 1", "give a burst of 1 or more");
        } else if (!hasRate && customer.burst > 0) {
            add(Severity::Warning, nameOf(customer), "rate", "a burst without a rate limits nothing",
                "give a rate or remove the burst");
        }
    }

    /** Keys are named by their position only, since they are secrets. */
    void checkKeys(const Customer& customer)
    {
        for (std::size_t i = 0; i < customer.keys.size(); ++i) {
            const auto& key = customer.keys[i];
            const auto which = "key " + std::to_string(i + 1);
            const auto [first, isNew] = holders_.try_emplace(key, &customer, i);
            const auto& [holder, position] = first->second;
            if (!isNew && holder != &customer) {
                add(Severity::Warning, nameOf(customer), "keys",
                    which + " is also key " + std::to_string(position + 1) + " of " + nameOf(*holder)
                        + ", to which its requests are counted",
                    "remove it from one of the customers");
            } else if (!isNew) {
                add(Severity::Note, nameOf(customer), "keys",
                    which + " is the same as key " + std::to_string(position + 1), "remove one of them");
            }
            if (!canBeSent(key))
                add(Severity::Warning, nameOf(customer), "keys",
                    which + " can never match: it begins or ends with a space or has control characters",
                    "replace the key");
        }
    }

    /**
     * Compares the customers' rates with the most requests per second that the connections carry if each
     * answer takes the latency objective of its route. The services of several routes count once for each of
     * them, so that a finding does not depend on how requests divide between routes.
     */
    void checkTotalRate()
    {
        double rates = 0;
        for (const auto& customer : configuration_.customers)
            rates += customer.requestsPerSecond;
        if (!replicas_ || rates <= 0)
            return;
        double capacity = 0;
        for (const auto& route : configuration_.routes) {
            if (route.latencyObjective <= Duration::zero())
                return;
            capacity += connectionsOf(route) * 1000 / toMillis(route.latencyObjective);
        }
        if (rates > capacity)
            add(Severity::Warning, "", "customers",
                "the rates of all customers add up to " + formatNumber(rates)
                    + "/s; the connections of the replicas carry at most " + formatNumber(capacity)
                    + "/s if answers take the latency objective",
                "lower the rates, or add replicas or connections");
    }

    /** Requests of a route that can be in progress at once. A scatter-gather request needs one at each shard.
     */
    double connectionsOf(const Route& route) const
    {
        double least = std::numeric_limits<double>::infinity();
        double sum = 0;
        forEachTarget(route, [&](const ServiceId& id) {
            const auto* service = table_.service(id);
            const auto connections
                = static_cast<double>(replicasOf(id)) * (service ? service->maxConnections : 1U);
            least = std::min(least, connections);
            sum += connections;
        });
        return route.isGather() ? least : sum;
    }

    const RouteTable table_;
    /** The copy of the table, so that the routes it returns can be identified. */
    const Configuration& configuration_;
    const ReplicaCounts* replicas_;
    std::vector<Finding> findings_;
    /** Services that get requests of a route that can match. */
    std::unordered_set<ServiceId> used_;
    /** Services in the split of such a route, also with weight 0. */
    std::unordered_set<ServiceId> mentioned_;
    /** First holder of each key, and the position in its list. */
    std::unordered_map<std::string_view, std::pair<const Customer*, std::size_t>> holders_;
};

} // namespace

std::vector<Finding> checkConfiguration(const Configuration& configuration, const ReplicaCounts* replicas)
{
    return Checker(configuration, replicas).run();
}

} // namespace banyancroft::routing
