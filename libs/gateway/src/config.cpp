#include "almondridge/gateway/config.h"

#include <algorithm>
#include <cctype>

namespace almondridge::gateway {
namespace {

/** Lower case and without a port, as routes have it. */
std::string plainHost(std::string_view host)
{
    const std::string_view name = host.substr(0, host.find(':'));
    std::string plain(name);
    std::transform(plain.begin(), plain.end(), plain.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return plain;
}

} // namespace

const Route *Config::find(std::string_view host, std::string_view path) const
{
    // Prefixes end with a slash, so only the path's own slashes can end one: a look-up for each
    // of them, whatever the number of routes.
    std::string place = plainHost(host);
    const std::size_t hostLength = place.size();
    place += path.substr(0, path.find_first_of("?#"));
    for (std::size_t slash = place.rfind('/'); slash != std::string::npos && slash >= hostLength;
         slash = place.rfind('/')) {
        place.resize(slash + 1);
        const auto found = byPlace_.find(place);
        if (found != byPlace_.end()) {
            return &routes_[found->second];
        }
        place.resize(slash);
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
    route.host_ = plainHost(route.host_);
    config_.byPlace_[route.host_ + route.pathPrefix_] = config_.routes_.size();
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
