/**
 * Links: deadlines of silent connections, calls and idle connections.
 */
#include "links.h"

#include <algorithm>

namespace almondridge::peers {
namespace {

/** Idle timeout of a link; IdleIntervals heartbeat intervals if those are longer. */
constexpr Duration IdleSpan = std::chrono::seconds(60);
constexpr int IdleIntervals = 4;

} // namespace

TimePoint Links::advance(TimePoint now)
{
    if (now < scanDeadline_) {
        return scanDeadline_;
    }
    std::vector<std::uint64_t> tokens;
    for (const auto &[token, link] : links_) {
        if (nextDeadline(link) <= now) {
            tokens.push_back(token);
        }
    }
    for (const std::uint64_t token : tokens) {
        if (checkDeadlines(links_.at(token), now)) {
            flush(token);
        }
    }
    scanDeadline_ = earliestDeadline();
    return scanDeadline_;
}

TimePoint Links::earliestDeadline() const
{
    TimePoint earliest = TimePoint::max();
    for (const auto &[token, link] : links_) {
        earliest = std::min(earliest, nextDeadline(link));
    }
    return earliest;
}

/** False if the link was closed. */
bool Links::checkDeadlines(Link &link, TimePoint now)
{
    const std::uint64_t token = link.token_;
    const PeerAddress address = link.address_;
    if (link.state_ != LinkState::Open) {
        if (link.openDeadline_ > now) {
            return true;
        }
        close(token, "no answer from " + toString(address));
        parts_.membership_.unanswered(address);
        return false;
    }
    const bool silent =
        std::any_of(link.exchanges_.begin(), link.exchanges_.end(), [&](const auto &entry) {
            return entry.second.call_ == 0 && entry.second.deadline_ <= now;
        });
    if (silent) {
        replace(token);
        return false;
    }
    if (link.exchanges_.empty() && idleDeadline(link) <= now) {
        close(token, "idle");
        return false;
    }
    // If the peer starts the heartbeats, this link has none in flight that could time out. When
    // a request gets no response at all, send one to detect a silent connection.
    if (endCalls(link, now) && !heartbeatUnderWay(link)) {
        sendHeartbeat(link);
    }
    sendWaiting(link);
    return true;
}

/** Fails calls past their deadline. True if a call got no response and the link may be silent. */
bool Links::endCalls(Link &link, TimePoint now)
{
    bool doubtful = false;
    for (auto entry = link.exchanges_.begin(); entry != link.exchanges_.end();) {
        const Exchange &exchange = entry->second;
        const bool quiet = link.connection_.lastReceived() < exchange.sentAt_;
        const bool over = exchange.call_ != 0 && exchange.deadline_ <= now;
        const bool overdue = exchange.sentAt_ + parts_.settings_.interval_ <= now;
        doubtful = doubtful || (exchange.call_ != 0 && quiet && (over || overdue));
        if (!over) {
            ++entry;
            continue;
        }
        calls_.giveUp(exchange.call_, "no answer in time");
        link.connection_.session().cancel(entry->first);
        entry = link.exchanges_.erase(entry);
    }
    return doubtful;
}

TimePoint Links::nextDeadline(const Link &link) const
{
    if (link.state_ != LinkState::Open) {
        return link.openDeadline_;
    }
    TimePoint next = link.exchanges_.empty() ? idleDeadline(link) : TimePoint::max();
    const bool asked = heartbeatUnderWay(link);
    for (const auto &[stream, exchange] : link.exchanges_) {
        next = std::min(next, exchange.deadline_);
        const bool quiet = link.connection_.lastReceived() < exchange.sentAt_;
        if (exchange.call_ != 0 && quiet && !asked) {
            next = std::min(next, exchange.sentAt_ + parts_.settings_.interval_);
        }
    }
    return next;
}

TimePoint Links::idleDeadline(const Link &link) const
{
    const Duration longest = IdleIntervals * parts_.membership_.longestInterval();
    return link.connection_.lastReceived() + std::max(IdleSpan, longest);
}

bool Links::heartbeatUnderWay(const Link &link) noexcept
{
    return std::any_of(link.exchanges_.begin(), link.exchanges_.end(),
                       [](const auto &entry) { return entry.second.call_ == 0; });
}

} // namespace almondridge::peers
