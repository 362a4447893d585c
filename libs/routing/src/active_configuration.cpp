#include "routing/active_configuration.h"

namespace banyancroft::routing {

bool ActiveConfiguration::update(Configuration configuration, TimePoint now)
{
    if (current_ && configuration.version <= version())
        return false;
    current_ = std::make_shared<const RouteTable>(std::move(configuration));
    acceptedAt_ = now;
    return true;
}

ConfigVersion ActiveConfiguration::version() const
{
    return current_ ? current_->configuration().version : ConfigVersion {};
}

} // namespace banyancroft::routing
