/**
 * What the platform gives, as narrow interfaces. HTTP clients for them are in httpplatform.h;
 * tests put small fakes in their place.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <string>
#include <vector>

namespace almondridge::store {

struct LogRecord
{
    LogOffset offset_ = 0; ///< From 1 on, without gaps.
    std::string body_;
};

/** A run of records, and which offsets the log has at all. */
struct LogPage
{
    LogOffset first_ = 0; ///< The oldest offset still kept.
    LogOffset next_ = 0;  ///< The offset that the next append gets.
    std::vector<LogRecord> records_;
};

/** The append-only log. Implementations are thread-safe. */
class LogService
{
public:
    virtual ~LogService() = default;

    /**
     * Appends all bodies in one go, at offsets in a row, and gives the first one.
     * Unavailable or Overloaded: not appended. Interrupted: it may or may not have been, now
     * or later.
     */
    virtual Result<LogOffset> append(const std::vector<std::string> &bodies,
                                     TimePoint deadline) = 0;

    /**
     * Records from offset on; waits for the first until waitUntil. Trimmed: offset is no longer
     * kept. An offset beyond the next one gives no records, but still says which ones there are.
     */
    virtual Result<LogPage> read(LogOffset from, TimePoint waitUntil) = 0;
};

enum class ListedState { Live, Leaving };

inline constexpr std::array<EnumName<ListedState>, 2> ListedStateNames {{
    {ListedState::Live, "live"},
    {ListedState::Leaving, "leaving"},
}};

/** An entry instance or an endpoint as the platform's list shows it, late. */
struct ListedInstance
{
    std::string id_;   ///< An InstanceId or an EndpointId.
    std::string kind_; ///< "entry", "engine" or "service".
    DomainId domain_;
    std::string address_; ///< Entries: their peer address.
    ListedState state_ = ListedState::Live;
};

class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual Result<std::vector<ListedInstance>> fetch(TimePoint deadline) = 0;
};

/** How much the weight store lets through, so that loads are paced. */
struct WeightStoreStatus
{
    double bytesPerSecond_ = 0;
    int fetchesRunning_ = 0;
};

class WeightStore
{
public:
    virtual ~WeightStore() = default;
    virtual Result<WeightStoreStatus> status(TimePoint deadline) = 0;
};

} // namespace almondridge::store
