/**
 * Connections of the load tool to the entry instances.
 */
#pragma once

#include "almondridge/net/httpexchange.h"
#include "load/callresult.h"

namespace almondridge::standins {

/** A request on its way, and where it went. */
struct OpenCall
{
    net::HttpExchange exchange_;
    std::size_t entry_ = 0;
};

/** A whole answer that is no 200. */
struct RefusalText
{
    int status_ = 0;
    net::Headers headers_ {};
    std::string body_ {};
};

/** Thread-safe: it only reads the options. */
class EntryClient
{
public:
    /** The options must outlive this object. */
    explicit EntryClient(const LoadOptions &options);

    const LoadOptions &options() const noexcept { return options_; }
    std::string nameOfEntry(std::size_t entry) const;

    /**
     * Sends request to the entry, or to the next one that takes a connection, as a balancer does.
     * Unavailable or TimedOut: none does. Interrupted: the request may have been seen.
     */
    Result<OpenCall> open(const net::Request &request, std::size_t entry, TimePoint deadline,
                          int &failovers) const;

    /** The headers that every request carries. */
    net::Headers commonHeaders(const PlannedCall &call, std::int64_t plannedWallMillis) const;

private:
    const LoadOptions &options_;
};

/** What a refusal comes to: its X-Outcome, else its body's outcome, else its status. */
CallOutcome outcomeOf(const RefusalText &refusal);

} // namespace almondridge::standins
