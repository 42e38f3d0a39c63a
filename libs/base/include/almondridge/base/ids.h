/**
 * Strongly typed identifiers: each kind has its own type, so that one can't be passed as another.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace almondridge {

/** An identifier of the kind given by Tag. */
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : value_(std::move(value))
    { }

    const std::string &value() const noexcept { return value_; }
    bool empty() const noexcept { return value_.empty(); }

    friend auto operator<=>(const Id &, const Id &) = default;
    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.value_; }

private:
    std::string value_;
};

using AccountId = Id<struct AccountTag>;
using AdapterId = Id<struct AdapterTag>;
/** An attempt at a request; unique over all instances. */
using AttemptId = Id<struct AttemptTag>;
using DomainId = Id<struct DomainTag>;
using EndpointId = Id<struct EndpointTag>;
using InstanceId = Id<struct InstanceTag>;
using ModelId = Id<struct ModelTag>;
using RequestId = Id<struct RequestTag>;
using ServiceId = Id<struct ServiceTag>;
/** The version of an endpoint's software; empty: unknown. */
using SoftwareVersion = Id<struct SoftwareVersionTag>;

/** An offset in the platform's log. */
using LogOffset = std::uint64_t;
/** A fencing number, from the offset of the accepted lease claim; 0: none. */
using Fence = std::uint64_t;
/** The offset of an accepted apply; 0: none. */
using Revision = std::uint64_t;

} // namespace almondridge

template <typename Tag>
struct std::hash<almondridge::Id<Tag>>
{
    std::size_t operator()(const almondridge::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
