#include "almondridge/fleet/fleetfile.h"

#include <algorithm>
#include <charconv>

namespace almondridge::fleet {
namespace {

/** The path without query and fragment. */
std::string_view withoutQuery(std::string_view path) noexcept
{
    return path.substr(0, path.find_first_of("?#"));
}

/** Whether path has the prefix in whole segments: /booking matches /booking/7, not /bookings. */
bool hasSegmentPrefix(std::string_view path, std::string_view prefix) noexcept
{
    if (prefix.ends_with('/')) {
        prefix.remove_suffix(1);
    }
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || path[prefix.size()] == '/' || path[prefix.size()] == ';';
}

/** Whether a percent escape is invalid or stands for a printable ASCII character. */
bool hasUnneededEscape(std::string_view path) noexcept
{
    constexpr int Hex = 16;
    for (std::size_t at = path.find('%'); at != std::string_view::npos;
         at = path.find('%', at + 1)) {
        const std::string_view digits = path.substr(at + 1, 2);
        unsigned code = 0;
        const char *end = digits.data() + digits.size();
        const auto [stop, error] = std::from_chars(digits.data(), end, code, Hex);
        const bool readable = digits.size() == 2 && error == std::errc() && stop == end;
        if (!readable || (code > ' ' && code < 0x7f)) {
            return true;
        }
    }
    return false;
}

/**
 * Whether the endpoint may interpret the path differently. "/search/../confirmations" and
 * "/%63onfirmations" reach another route at the endpoint than the prefixes here match, so that a
 * request that isn't idempotent could be repeated and send a confirmation twice.
 */
bool isAmbiguous(std::string_view path) noexcept
{
    return path.find("//") != std::string_view::npos || path.find("/.") != std::string_view::npos
           || path.find('\\') != std::string_view::npos || hasUnneededEscape(path);
}

Repeatability repeatabilityOfMethod(std::string_view method) noexcept
{
    return method == "GET" || method == "HEAD" ? Repeatability::Idempotent
                                               : Repeatability::NonIdempotent;
}

} // namespace

const Service *findService(const Fleet &fleet, std::string_view path) noexcept
{
    const std::string_view plain = withoutQuery(path);
    const Service *best = nullptr;
    for (const auto &[id, service] : fleet.services_) {
        const bool longer = !best || service.pathPrefix_.size() > best->pathPrefix_.size();
        if (longer && hasSegmentPrefix(plain, service.pathPrefix_)) {
            best = &service;
        }
    }
    return best;
}

Repeatability repeatabilityOf(const Service &service, std::string_view method,
                              std::string_view pathInService) noexcept
{
    const std::string_view path = withoutQuery(pathInService);
    if (isAmbiguous(path)) {
        return Repeatability::NonIdempotent;
    }
    const Route *best = nullptr;
    for (const Route &route : service.routes_) {
        const bool longer = !best || route.pathPrefix_.size() > best->pathPrefix_.size();
        if (route.method_ == method && longer && hasSegmentPrefix(path, route.pathPrefix_)) {
            best = &route;
        }
    }
    return best ? best->repeatability_ : repeatabilityOfMethod(method);
}

} // namespace almondridge::fleet
