/**
 * Interfaces of the platform's services. Their HTTP clients are in httpstore.h; tests use fakes.
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
    LogOffset offset_ = 0; ///< Starts at 1; offsets have no gaps.
    std::string body_;
};

/** Consecutive records and the range of offsets that the log retains. */
struct LogPage
{
    LogOffset first_ = 0; ///< The oldest offset retained.
    LogOffset next_ = 0;  ///< The offset of the next append.
    std::vector<LogRecord> records_;
};

/** The append-only log. Implementations are thread-safe. */
class LogService
{
public:
    virtual ~LogService() = default;

    /**
     * Appends all bodies atomically at consecutive offsets and returns the first offset. Errors:
     * Unavailable and Overloaded, nothing was appended; Interrupted, the bodies may have been
     * appended or may still be.
     */
    virtual Result<LogOffset> append(const std::vector<std::string> &bodies,
                                     TimePoint deadline) = 0;

    /**
     * Reads records, starting at offset from; waits for the first one until waitUntil. Error
     * Trimmed: the offset is no longer retained. An offset beyond the end returns no records, but
     * still the retained range.
     */
    virtual Result<LogPage> read(LogOffset from, TimePoint waitUntil) = 0;
};

enum class ListedState { Live, Leaving };

inline constexpr std::array<EnumName<ListedState>, 2> ListedStateNames {{
    {ListedState::Live, "live"},
    {ListedState::Leaving, "leaving"},
}};

/** An instance or endpoint in the platform's list, which may be out of date. */
struct ListedInstance
{
    std::string id_;   ///< An InstanceId or an EndpointId.
    std::string kind_; ///< "entry", "engine" or "service".
    DomainId domain_;
    std::string address_; ///< For kind "entry": the peer address.
    ListedState state_ = ListedState::Live;
};

class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual Result<std::vector<ListedInstance>> fetch(TimePoint deadline) = 0;
};

/** The weight store's rate and load, used to limit concurrent loads. */
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
