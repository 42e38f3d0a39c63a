/**
 * Links: deadlines of silent connections, calls and idle connections.
 */
#include "links.h"

#include <algorithm>

namespace almondridge::peers {
namespace {

/** Idle timeout of a link; IdleIntervals heartbeat intervals if those are longer. */
constexpr Duration IdleTimeout = std::chrono::seconds(60);
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
        context_.membership_.onNoAnswer(address);
        return false;
    }
    const bool silent = std::any_of(
        link.pendingRequests_.begin(), link.pendingRequests_.end(), [&](const auto &entry) {
            return entry.second.call_ == 0 && entry.second.deadline_ <= now;
        });
    if (silent) {
        reconnect(token);
        return false;
    }
    if (link.pendingRequests_.empty() && idleDeadline(link) <= now) {
        close(token, "idle");
        return false;
    }
    // If the peer starts the heartbeats, this link has none in flight that could time out. When
    // a request gets no response at all, send one to detect a silent connection.
    if (expireCalls(link, now) && !heartbeatInFlight(link)) {
        sendHeartbeat(link);
    }
    sendQueued(link);
    return true;
}

/** Fails calls past their deadline. True if a call got no response and the link may be silent. */
bool Links::expireCalls(Link &link, TimePoint now)
{
    bool maybeSilent = false;
    for (auto entry = link.pendingRequests_.begin(); entry != link.pendingRequests_.end();) {
        const PendingRequest &pending = entry->second;
        const bool nothingReceived = link.connection_.lastReceived() < pending.sentAt_;
        const bool expired = pending.call_ != 0 && pending.deadline_ <= now;
        const bool overdue = pending.sentAt_ + context_.settings_.interval_ <= now;
        maybeSilent =
            maybeSilent || (pending.call_ != 0 && nothingReceived && (expired || overdue));
        if (!expired) {
            ++entry;
            continue;
        }
        calls_.failCall(pending.call_, "no answer in time");
        link.connection_.session().cancel(entry->first);
        entry = link.pendingRequests_.erase(entry);
    }
    return maybeSilent;
}

TimePoint Links::nextDeadline(const Link &link) const
{
    if (link.state_ != LinkState::Open) {
        return link.openDeadline_;
    }
    TimePoint next = link.pendingRequests_.empty() ? idleDeadline(link) : TimePoint::max();
    const bool heartbeatPending = heartbeatInFlight(link);
    for (const auto &[stream, pending] : link.pendingRequests_) {
        next = std::min(next, pending.deadline_);
        const bool nothingReceived = link.connection_.lastReceived() < pending.sentAt_;
        if (pending.call_ != 0 && nothingReceived && !heartbeatPending) {
            next = std::min(next, pending.sentAt_ + context_.settings_.interval_);
        }
    }
    return next;
}

TimePoint Links::idleDeadline(const Link &link) const
{
    const Duration longest = IdleIntervals * context_.membership_.longestInterval();
    return link.connection_.lastReceived() + std::max(IdleTimeout, longest);
}

bool Links::heartbeatInFlight(const Link &link) noexcept
{
    return std::any_of(link.pendingRequests_.begin(), link.pendingRequests_.end(),
                       [](const auto &entry) { return entry.second.call_ == 0; });
}

} // namespace almondridge::peers
