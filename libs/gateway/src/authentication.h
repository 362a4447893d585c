#pragma once

#include "gateway/dialect.h"
#include "http/head.h"
#include "routing/route_table.h"

namespace banyancroft::gateway {

/** Who sent a request. */
struct CallerIdentity {
    /** False if the route needs an API key and the request carries none that a customer holds. */
    bool isAllowed = false;
    /** Null if the request carries no key of a customer. */
    const routing::Customer* customer = nullptr;
};

/**
 * Identifies the customer of a request by its API key.
 *
 * The key is judged anew with each request, since a key may be withdrawn while a connection stays open. Two
 * authorization fields count as none: an intermediary may have judged the other one.
 */
CallerIdentity identifyCaller(const http::FieldList& fields, const routing::RouteTable& routes,
    const routing::Route& route, const Dialect& dialect);

} // namespace banyancroft::gateway
