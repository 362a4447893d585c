#include "routing/route_table.h"

#include "base/string_map.h"

#include <algorithm>
#include <cmath>

namespace banyancroft::routing {

namespace {

/** Host name in lower case without port. */
std::string normalisedHost(std::string_view host)
{
    std::string result(host.substr(0, host.find(':')));
    std::transform(result.begin(), result.end(), result.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

class RouteTable::Impl {
public:
    explicit Impl(Configuration configuration)
        : configuration_(std::move(configuration))
    {
        for (const auto& route : configuration_.routes)
            routes_.emplace(normalisedHost(route.host) + route.pathPrefix, &route);
        for (const auto& service : configuration_.services)
            services_.emplace(service.id.str(), &service);
        for (const auto& customer : configuration_.customers) {
            customersById_.emplace(customer.id.str(), &customer);
            hasLimitedCustomers_ = hasLimitedCustomers_ || customer.requestsPerSecond > 0;
            for (const auto& key : customer.keys) {
                const auto [held, isNew] = customersByKey_.emplace(key, &customer);
                sharedKeys_ += !isNew && held->second != &customer;
            }
        }
    }

    Configuration configuration_;
    /** Key: host followed by the path prefix. */
    StringMap<const Route*> routes_;
    StringMap<const Service*> services_;
    StringMap<const Customer*> customersByKey_;
    StringMap<const Customer*> customersById_;
    std::size_t sharedKeys_ = 0;
    bool hasLimitedCustomers_ = false;
};

RouteTable::RouteTable(Configuration configuration)
    : impl_(std::make_unique<Impl>(std::move(configuration)))
{
}

RouteTable::~RouteTable() = default;

const Route* RouteTable::match(std::string_view host, std::string_view target) const
{
    const auto path = target.substr(0, target.find_first_of("?#"));
    std::string key = normalisedHost(host);
    const auto hostLength = key.size();
    key.append(path);
    // Route prefixes end with a slash, so only prefixes of the path that end with a slash can match.
    for (auto end = key.find_last_of('/'); end != std::string::npos && end >= hostLength;
         end = end == 0 ? std::string::npos : key.find_last_of('/', end - 1)) {
        const auto found = impl_->routes_.find(std::string_view(key).substr(0, end + 1));
        if (found != impl_->routes_.end())
            return found->second;
    }
    return nullptr;
}

const Configuration& RouteTable::configuration() const { return impl_->configuration_; }

const Service* RouteTable::service(const ServiceId& id) const
{
    const auto found = impl_->services_.find(id.view());
    return found == impl_->services_.end() ? nullptr : found->second;
}

const Customer* RouteTable::customerOfKey(std::string_view key) const
{
    const auto found = impl_->customersByKey_.find(key);
    return found == impl_->customersByKey_.end() ? nullptr : found->second;
}

const Customer* RouteTable::customer(const CustomerId& id) const
{
    const auto found = impl_->customersById_.find(id.view());
    return found == impl_->customersById_.end() ? nullptr : found->second;
}

bool RouteTable::hasLimitedCustomers() const { return impl_->hasLimitedCustomers_; }

std::size_t RouteTable::sharedKeys() const { return impl_->sharedKeys_; }

const ServiceId* pickService(const Route& route, double randomValue)
{
    double total = 0;
    for (const auto& entry : route.split)
        total += entry.weight;
    if (total <= 0)
        return nullptr;
    double remaining = randomValue * total;
    const ServiceId* last = nullptr;
    for (const auto& entry : route.split) {
        if (entry.weight <= 0)
            continue;
        last = &entry.service;
        remaining -= entry.weight;
        if (remaining < 0)
            break;
    }
    return last;
}

std::size_t requiredShards(std::size_t shards, double minCoverage)
{
    // Prevents a rounding error in the product from requiring one shard too many.
    constexpr double tolerance = 1e-9;
    const double minShards = std::ceil(static_cast<double>(shards) * minCoverage - tolerance);
    const auto maxShards = static_cast<double>(std::max<std::size_t>(shards, 1));
    return static_cast<std::size_t>(std::clamp(minShards, 1.0, maxShards));
}

} // namespace banyancroft::routing
