#include "rendezvous.h"

namespace almondridge::peers {
namespace {

constexpr std::uint64_t FnvBasis = 0xcbf29ce484222325U;
constexpr std::uint64_t FnvPrime = 0x100000001b3U;

std::uint64_t fnv1a(std::string_view text, std::uint64_t hash = FnvBasis) noexcept
{
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * FnvPrime;
    }
    // A separator, so that "ab" + "c" and "a" + "bc" differ.
    return (hash ^ 0xffU) * FnvPrime;
}

/** Bit mixer: FNV's high bits are similar for short texts, and decide the order of weights. */
std::uint64_t mixBits(std::uint64_t hash) noexcept
{
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

} // namespace

std::uint64_t gatewayWeight(const InstanceId &self, const InstanceId &other) noexcept
{
    return mixBits(fnv1a(other.value(), fnv1a(self.value())));
}

std::uint64_t memberHash(const PeerIdentity &member)
{
    std::uint64_t hash = fnv1a(member.instance_.value());
    hash = fnv1a(member.domain_.value(), hash);
    hash = fnv1a(toString(member.address_), hash);
    hash = fnv1a(std::to_string(member.incarnation_), hash);
    return mixBits(hash ^ (member.leaving_ ? 1U : 0U));
}

} // namespace almondridge::peers
