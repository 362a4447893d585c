#pragma once

#include "routing/configuration.h"

#include <memory>
#include <string_view>

namespace banyancroft::routing {

/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix of its path.
 * Immutable; a request keeps the table that was in force when it was read.
 */
class RouteTable {
public:
    explicit RouteTable(Configuration configuration);
    ~RouteTable();

    /** @param target path with an optional query  @return nullptr when no route matches */
    const Route* match(std::string_view host, std::string_view target) const;
    const Configuration& configuration() const;
    /** @return nullptr when the service is not declared */
    const Service* service(const ServiceId& id) const;

private:
    class Impl;
    std::unique_ptr<const Impl> impl_;
};

/**
 * Service of a weighted split for a request.
 * @param draw uniform in [0, 1)
 * @return nullptr when no service has a positive weight
 */
const ServiceId* pickService(const Route& route, double draw);

} // namespace banyancroft::routing
