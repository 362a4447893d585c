#pragma once

#include "routing/configuration.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace banyancroft::routing {

/**
 * Finds the route of a request by host and longest matching path prefix. Immutable; a request uses the table
 * that was in force when the request was read.
 */
class RouteTable {
public:
    explicit RouteTable(Configuration configuration);
    ~RouteTable();

    /**
     * @param host value of the Host header; case and port are ignored
     * @param target path with an optional query
     * @return nullptr when no route matches
     */
    const Route* match(std::string_view host, std::string_view target) const;
    const Configuration& configuration() const;
    /** @return nullptr when the service is not declared */
    const Service* service(const ServiceId& id) const;
    /** @return nullptr when no customer holds the key */
    const Customer* customerOfKey(std::string_view key) const;
    /** @return nullptr when the customer is not in the configuration */
    const Customer* customer(const CustomerId& id) const;
    /** True if at least one customer has a rate limit. */
    bool hasLimitedCustomers() const;
    /** Number of keys that more than one customer holds; the first customer in the configuration keeps them.
     */
    std::size_t sharedKeys() const;

private:
    class Impl;
    std::unique_ptr<const Impl> impl_;
};

/**
 * Selects the service of a weighted split for one request.
 * @param randomValue uniform in [0, 1)
 * @return nullptr when no service has a positive weight
 */
const ServiceId* pickService(const Route& route, double randomValue);

/**
 * Returns the number of shards that a response must contain; at least 1.
 * @param minCoverage required fraction of `shards`, 0 to 1
 */
std::size_t requiredShards(std::size_t shards, double minCoverage);

} // namespace banyancroft::routing
