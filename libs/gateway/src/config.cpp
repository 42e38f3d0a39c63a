#include "almondridge/gateway/config.h"

#include <algorithm>
#include <cctype>

namespace almondridge::gateway {
namespace {

/** Lower case and without a port, as in Route::host_. */
std::string normalizeHost(std::string_view host)
{
    const std::string_view name = host.substr(0, host.find(':'));
    std::string normalized(name);
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return normalized;
}

} // namespace

const Route *Config::find(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so one look-up for each slash of the path finds the longest;
    // the cost doesn't depend on the number of routes.
    std::string candidate = normalizeHost(host);
    const std::size_t hostLength = candidate.size();
    candidate += path.substr(0, path.find_first_of("?#"));
    for (std::size_t slash = candidate.rfind('/');
         slash != std::string::npos && slash >= hostLength; slash = candidate.rfind('/')) {
        candidate.resize(slash + 1);
        const auto found = routeByHostAndPrefix_.find(candidate);
        if (found != routeByHostAndPrefix_.end()) {
            return &routes_[found->second];
        }
        candidate.resize(slash);
    }
    return nullptr;
}

const ServiceTraits *Config::service(const ServiceId &id) const
{
    const auto found = std::find_if(services_.begin(), services_.end(),
                                    [&](const ServiceTraits &one) { return one.id_ == id; });
    return found != services_.end() ? &*found : nullptr;
}

Config::Builder &Config::Builder::version(std::uint64_t version)
{
    config_.version_ = version;
    return *this;
}

Config::Builder &Config::Builder::limits(const CallerLimits &limits)
{
    config_.limits_ = limits;
    return *this;
}

Config::Builder &Config::Builder::route(Route route)
{
    route.host_ = normalizeHost(route.host_);
    config_.routeByHostAndPrefix_[route.host_ + route.pathPrefix_] = config_.routes_.size();
    config_.routes_.push_back(std::move(route));
    return *this;
}

Config::Builder &Config::Builder::service(ServiceTraits service)
{
    config_.services_.push_back(std::move(service));
    return *this;
}

Config::Builder &Config::Builder::accounts(Accounts accounts)
{
    config_.accounts_ = std::move(accounts);
    return *this;
}

std::shared_ptr<const Config> Config::Builder::build()
{
    return std::make_shared<const Config>(std::move(config_));
}

} // namespace almondridge::gateway
