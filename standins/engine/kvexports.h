/**
 * KV caches that a prefill engine holds for a decode engine to fetch. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace almondridge::standins {

/** The KV cache of one prompt. */
struct KvExport
{
    std::uint64_t promptHash_ = 0;
    std::int64_t tokens_ = 0;
    TimePoint expiresAt_ {};
};

/** Not thread-safe. */
class KvExports
{
public:
    /** A ticket under which the export can be taken once. */
    std::string add(const KvExport &exported);
    /** The export, which is gone then. nullopt: unknown, taken before or expired. */
    std::optional<KvExport> take(const std::string &ticket, TimePoint now);
    void expire(TimePoint now);
    void clear() { exports_.clear(); }

    std::int64_t heldTokens() const;

private:
    std::map<std::string, KvExport> exports_;
    std::uint64_t nextTicket_ = 1; ///< Goes on after a crash: an old ticket stays unknown.
};

} // namespace almondridge::standins
