#include "routing/configuration_diff.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace banyancroft::routing {

namespace {

std::string describe(const std::string& text) { return quoted(text); }
std::string describe(bool value) { return value ? "yes" : "no"; }
std::string describe(unsigned value) { return std::to_string(value); }
std::string describe(std::size_t value) { return std::to_string(value); }
std::string describe(double value) { return formatNumber(value); }
std::string describe(Duration value) { return formatNumber(toMillis(value)) + " ms"; }
std::string describe(const std::optional<unsigned>& value)
{
    return value ? std::to_string(*value) : "that of the route";
}

std::string rate(double perSecond) { return perSecond > 0 ? formatNumber(perSecond) + "/s" : "none"; }

std::string plural(std::size_t number, const char* noun)
{
    return std::to_string(number) + " " + noun + (number == 1 ? "" : "s");
}

/** Weight by service. A shard of a scatter-gather route has weight 1. */
std::map<std::string_view, double> targetsOf(const Route& route)
{
    std::map<std::string_view, double> result;
    for (const auto& shard : route.gather.shards)
        result[shard.view()] = 1;
    for (const auto& entry : route.split)
        result[entry.service.view()] += entry.weight;
    return result;
}

std::string describeTargets(const Route& route)
{
    constexpr std::size_t maxNamed = 5;
    const auto targets = targetsOf(route);
    if (route.isGather() && targets.size() > maxNamed)
        return plural(targets.size(), "shard");
    std::string result;
    std::size_t named = 0;
    for (const auto& [service, weight] : targets) {
        if (named == maxNamed)
            return result + " and " + std::to_string(targets.size() - named) + " others";
        result += (named++ == 0 ? "" : ", ") + quoted(service);
        if (!route.isGather() && (targets.size() > 1 || weight <= 0))
            result += " weight " + formatNumber(weight);
    }
    return result.empty() ? "none" : result;
}

/** Entries of one kind by name; entries of the same name are told apart by their order. */
template <typename Entry, typename NameOf>
std::map<std::pair<std::string, std::size_t>, const Entry*> byName(
    const std::vector<Entry>& entries, NameOf nameOf)
{
    std::map<std::pair<std::string, std::size_t>, const Entry*> result;
    std::unordered_map<std::string, std::size_t> seen;
    for (const auto& entry : entries) {
        const std::string name = nameOf(entry);
        result.emplace(std::pair { name, seen[name]++ }, &entry);
    }
    return result;
}

class Comparison {
public:
    std::vector<Change> run(const Configuration& before, const Configuration& after)
    {
        place_ = "limits for callers";
        field("body size", before.limits.bodyBytes, after.limits.bodyBytes);
        field("header size", before.limits.headerBytes, after.limits.headerBytes);
        field("header timeout", before.limits.headerTimeout, after.limits.headerTimeout);
        field("idle timeout", before.limits.idleTimeout, after.limits.idleTimeout);
        place_ = "customers";
        field("API keys required", before.requiresKeys, after.requiresKeys);
        entries("route", before.routes, after.routes, [](const Route& route) { return route.name; });
        entries("service", before.services, after.services,
            [](const Service& service) { return service.id.str(); });
        entries("customer", before.customers, after.customers,
            [](const Customer& customer) { return customer.id.str(); });
        return std::move(changes_);
    }

private:
    void add(std::string text) { changes_.push_back({ place_, std::move(text) }); }

    template <typename Value> void field(const char* name, const Value& before, const Value& after)
    {
        if (before != after)
            add(std::string(name) + " " + describe(before) + " -> " + describe(after));
    }

    template <typename Entry, typename NameOf>
    void entries(
        const char* kind, const std::vector<Entry>& before, const std::vector<Entry>& after, NameOf nameOf)
    {
        const auto old = byName(before, nameOf);
        const auto next = byName(after, nameOf);
        for (const auto& [key, entry] : old) {
            place_ = std::string(kind) + " " + quoted(key.first);
            const auto found = next.find(key);
            if (found == next.end()) {
                add("removed");
            } else {
                compare(*entry, *found->second);
            }
        }
        for (const auto& [key, entry] : next) {
            place_ = std::string(kind) + " " + quoted(key.first);
            if (old.count(key) == 0)
                add("added" + detailOf(*entry));
        }
    }

    static std::string detailOf(const Route& route)
    {
        return ": host " + quoted(route.host) + ", path prefix " + quoted(route.pathPrefix) + ", services "
            + describeTargets(route);
    }
    static std::string detailOf(const Service&) { return {}; }
    static std::string detailOf(const Customer& customer)
    {
        return ": " + plural(customer.keys.size(), "key") + ", limit " + rate(customer.requestsPerSecond);
    }

    void compare(const Route& before, const Route& after)
    {
        field("host", before.host, after.host);
        field("path prefix", before.pathPrefix, after.pathPrefix);
        compareTargets(before, after);
        field("may be repeated", before.idempotent, after.idempotent);
        field("timeout", before.timeout, after.timeout);
        field("latency objective", before.latencyObjective, after.latencyObjective);
        field("maximum of replicas", before.maxUpstreams, after.maxUpstreams);
        field("priority", before.priority, after.priority);
        field("public", before.isPublic, after.isPublic);
        if (!before.isGather() || !after.isGather())
            return;
        field("maximum of records", before.gather.topRecords, after.gather.topRecords);
        field("minimum coverage", before.gather.minCoverage, after.gather.minCoverage);
    }

    void compareTargets(const Route& before, const Route& after)
    {
        const auto old = targetsOf(before);
        const auto next = targetsOf(after);
        if (old == next && before.isGather() == after.isGather())
            return;
        const auto missingIn = [](const auto& others) {
            return [&others](const auto& entry) { return others.count(entry.first) == 0; };
        };
        const auto removed = std::count_if(old.begin(), old.end(), missingIn(next));
        const auto added = std::count_if(next.begin(), next.end(), missingIn(old));
        std::string text = "services " + describeTargets(before) + " -> " + describeTargets(after);
        if (before.isGather() && after.isGather())
            text += " (" + std::to_string(added) + " added, " + std::to_string(removed) + " removed)";
        if (before.isGather() != after.isGather())
            text += after.isGather() ? " (now scatter-gather)" : " (no longer scatter-gather)";
        add((added + removed > 0 ? "moved to other services: " : "weights changed: ") + text);
    }

    void compare(const Service& before, const Service& after)
    {
        field("health path", before.healthPath, after.healthPath);
        field("connections of a replica", before.maxConnections, after.maxConnections);
        field("cold phase", before.coldFor, after.coldFor);
        if (before.coldRequestsPerSecond != after.coldRequestsPerSecond)
            add("rate of a cold replica " + rate(before.coldRequestsPerSecond) + " -> "
                + rate(after.coldRequestsPerSecond));
    }

    void compare(const Customer& before, const Customer& after)
    {
        compareRates(before.requestsPerSecond, after.requestsPerSecond);
        field("burst", before.burst, after.burst);
        field("priority", before.priority, after.priority);
        const std::unordered_set<std::string_view> old(before.keys.begin(), before.keys.end());
        const std::unordered_set<std::string_view> next(after.keys.begin(), after.keys.end());
        const auto countMissing = [](const auto& keys, const auto& others) {
            return static_cast<std::size_t>(std::count_if(
                keys.begin(), keys.end(), [&](const auto& key) { return others.count(key) == 0; }));
        };
        if (const auto added = countMissing(next, old); added > 0)
            add(plural(added, "key") + " added");
        if (const auto withdrawn = countMissing(old, next); withdrawn > 0)
            add(plural(withdrawn, "key") + " withdrawn");
    }

    void compareRates(double before, double after)
    {
        if (before == after)
            return;
        // A rate of 0 is no limit.
        const bool isLowered = after > 0 && (before <= 0 || after < before);
        add(std::string("limit ") + (isLowered ? "lowered " : "raised ") + rate(before) + " -> "
            + rate(after));
    }

    std::vector<Change> changes_;
    std::string place_;
};

} // namespace

std::vector<Change> listChanges(const Configuration& inForce, const Configuration& next)
{
    return Comparison().run(inForce, next);
}

std::optional<Finding> checkVersion(const Configuration& inForce, const Configuration& next)
{
    if (next.version > inForce.version)
        return std::nullopt;
    return Finding { Severity::Error, "", "version",
        std::to_string(next.version.value) + " is not higher than " + std::to_string(inForce.version.value)
            + ", the version in force, so the gateway ignores the document",
        "give at least " + std::to_string(inForce.version.value + 1) };
}

} // namespace banyancroft::routing
