#pragma once

#include "routing/route_table.h"

#include <memory>

namespace banyancroft::routing {

/**
 * Holds the configuration in force. The highest version that was ever offered stays in force for the life
 * of the process, so late or repeated reads of the store never revert it.
 */
class ActiveConfiguration {
public:
    /** @return true when the version is newer than the one in force and replaces it */
    bool update(Configuration configuration, TimePoint now);

    /** Empty before the first configuration. */
    std::shared_ptr<const RouteTable> current() const { return current_; }
    ConfigVersion version() const;
    /** Time at which the version in force was accepted. */
    TimePoint acceptedAt() const { return acceptedAt_; }

private:
    std::shared_ptr<const RouteTable> current_;
    TimePoint acceptedAt_ {};
};

} // namespace banyancroft::routing
