#pragma once

#include "routing/route_table.h"

#include <memory>

namespace banyancroft::routing {

/**
 * Holds the configuration in force. A configuration is replaced only by one with a higher version, so late or
 * repeated reads of the store never revert it during the lifetime of the process.
 */
class ActiveConfiguration {
public:
    /** @return true when the version is newer than the one in force and replaces it */
    bool update(Configuration configuration, TimePoint now);

    /** Null before the first configuration. */
    std::shared_ptr<const RouteTable> current() const { return current_; }
    ConfigVersion version() const;
    /** Time at which the version in force took effect. */
    TimePoint acceptedAt() const { return acceptedAt_; }

private:
    std::shared_ptr<const RouteTable> current_;
    TimePoint acceptedAt_ {};
};

} // namespace banyancroft::routing
