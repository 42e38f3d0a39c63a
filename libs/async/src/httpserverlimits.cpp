#include "serverpeer.h"

#include <algorithm>
#include <fmt/format.h>

namespace almondridge::async {
namespace {

/** A client that passes so many bytes, or such a part of what it holds, makes progress. */
constexpr std::size_t ProgressBytes = 4'096;
constexpr std::size_t ProgressPart = 64;
/** A connection in the middle of a request or an answer yields its socket after such a stall. */
constexpr Duration SocketStallTime = millis(250);

/** In which order connections of the same use are closed for a new one. */
enum class CloseRank {
    Closing,
    Idle,
    Busy, ///< In the middle of a request or an answer; only if it is stalled.
};

} // namespace

void HttpServer::noteProgress(Peer &peer)
{
    const std::uint64_t passed = peer.receivedBytes_ + peer.connection_->writtenBytes();
    const std::size_t part = std::max(ProgressBytes, peer.heldBytes() / ProgressPart);
    if (passed >= peer.progressMark_ + part) {
        peer.progressMark_ = passed;
        peer.progressAt_ = BootClock::now();
    }
}

net::Response HttpServer::overloaded(const RequestHead &head, Listener listener,
                                     std::size_t bytes) const
{
    constexpr std::int64_t MillisPerSecond = 1'000;
    constexpr int Unavailable = 503;
    const std::int64_t millis = loop_.memory().millisUntilRoom(bytes, BootClock::now());
    if (events_.overloaded_) {
        return events_.overloaded_({head, listener, millis});
    }
    const std::int64_t seconds = (millis + MillisPerSecond - 1) / MillisPerSecond;
    return {Unavailable, {{"Retry-After", std::to_string(seconds)}}, ""};
}

void HttpServer::refuseOverloaded(Peer &peer)
{
    limitsMet_.count(ClientLimit::MemoryRead);
    const std::size_t bytes = peer.heldBytes();
    if (peer.parser_ == nullptr) {
        drop(peer.number_);
        return;
    }
    const net::Response response = overloaded(peer.parser_->head(), peer.listener_, bytes);
    peer.keepAlive_ = false;
    std::string text = headText(peer, {response.status_, {}, response.headers_});
    text += fmt::format("Content-Length: {}\r\n\r\n", response.body_.size());
    if (peer.parser_->head().method_ != "HEAD") {
        text += response.body_;
    }
    peer.connection_->write(std::move(text));
    closeInOrder(peer);
}

YieldCandidate HttpServer::candidateOf(const Peer &peer)
{
    YieldCandidate candidate {peer.number_, peer.heldBytes(), YieldKind::Large, peer.progressAt_,
                              peer.parser_ != nullptr ? peer.parser_->doneShare() : 0};
    if (peer.call_ != 0) {
        candidate.kind_ = YieldKind::Stream;
    } else if (candidate.bytes_ <= SmallMessageBytes) {
        candidate.kind_ = YieldKind::Small;
    }
    return candidate;
}

void HttpServer::addCandidates(std::vector<YieldCandidate> &candidates) const
{
    for (const auto &[number, peer] : connections_) {
        if (peer->isReading() || peer->connection_->unwritten() > 0) {
            candidates.push_back(candidateOf(*peer));
        }
    }
}

void HttpServer::yield(std::uint64_t number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
        return;
    }
    Peer &peer = *found->second;
    if (peer.isReading() && peer.connection_->unwritten() == 0) {
        refuseOverloaded(peer);
        return;
    }
    cutUnread(peer, peer.call_ != 0 ? ClientLimit::StreamUnread : ClientLimit::Unread);
}

void HttpServer::cutUnread(Peer &peer, ClientLimit limit)
{
    limitsMet_.count(limit);
    peer.connection_->setResetOnClose(true);
    onPeerClosed(peer.number_);
}

std::optional<std::uint64_t> HttpServer::connectionToClose(Listener listener) const
{
    const TimePoint now = BootClock::now();
    std::optional<std::uint64_t> chosen;
    auto first = std::make_pair(CloseRank::Busy, now);
    for (const auto &[number, peer] : connections_) {
        if (peer->listener_ != listener || peer->call_ != 0) {
            continue;
        }
        const CloseRank rank = peer->closing_   ? CloseRank::Closing
                               : peer->isIdle() ? CloseRank::Idle
                                                : CloseRank::Busy;
        const bool mayYield = rank != CloseRank::Busy || peer->progressAt_ + SocketStallTime <= now;
        const auto order = std::make_pair(rank, peer->progressAt_);
        if (mayYield && (!chosen || order < first)) {
            first = order;
            chosen = number;
        }
    }
    return chosen;
}

bool HttpServer::makeSocketFree(Listener listener)
{
    while (const auto number = connectionToClose(listener)) {
        // What has arrived makes it no longer idle.
        const TimePoint before = connections_.at(*number)->progressAt_;
        takeArrived(*number);
        const auto found = connections_.find(*number);
        if (found != connections_.end() && found->second->progressAt_ == before) {
            limitsMet_.count(ClientLimit::Sockets);
            drop(*number);
            return true;
        }
    }
    return false;
}

} // namespace almondridge::async
