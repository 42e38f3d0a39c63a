/**
 * A list whose readers see it as it was some time ago. Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/time.h"
#include "common/fieldtable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace almondridge::standins {

/** What /control can set besides the entries. */
struct ListSettings
{
    std::int64_t lagInMillis_ = 0;
    bool outage_ = false;
};

inline constexpr std::array<Field<ListSettings>, 2> ListFields {{
    {"lag_in_ms", &ListSettings::lagInMillis_},
    {"outage", &ListSettings::outage_},
}};

/** The entries by id, as JSON objects in the shape of docs/PROTOCOLS.md. */
using ListEntries = std::map<std::string, Json>;

/** Not thread-safe; the server holds it under one lock. */
class LaggedList
{
public:
    /** Replaces all entries. InvalidInput: an entry without an id. */
    Result<void> replace(const Json &entries, TimePoint now);
    /** Adds or replaces the entries of set, then takes out those that remove names. */
    Result<void> update(const Json &set, const Json &remove, TimePoint now);

    /** What a reader sees now. */
    ListEntries shown(TimePoint now);
    /** What was set last. */
    const ListEntries &latest() const noexcept { return versions_.back().entries_; }

    ListSettings settings_;

private:
    struct Version
    {
        TimePoint since_ {};
        ListEntries entries_;
    };

    std::deque<Version> versions_ {Version {}};
};

} // namespace almondridge::standins
