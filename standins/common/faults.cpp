#include "common/faults.h"

#include "common/jsonhttp.h"

#include <thread>

namespace almondridge::standins {
namespace {

/** How often a held connection is looked at. */
constexpr Duration LookEvery = std::chrono::milliseconds(20);

} // namespace

FaultyExchange::FaultyExchange(net::ServerExchange &exchange, const Faults &faults)
    : exchange_(exchange)
    , faults_(faults)
    , silencedBefore_(faults.silenced_)
    , closedBefore_(faults.closed_)
{ }

bool FaultyExchange::respond(int status, const Json &body, const net::Headers &extra)
{
    return passes() && respondJson(exchange_, status, body, extra);
}

bool FaultyExchange::respondError(int status, std::string_view code, std::string_view message,
                                  const net::Headers &extra)
{
    return passes() && standins::respondError(exchange_, status, code, message, extra);
}

bool FaultyExchange::beginStream(int status, std::string_view contentType,
                                 const net::Headers &extra)
{
    return passes() && exchange_.beginStream(status, contentType, extra);
}

bool FaultyExchange::writeChunk(std::string_view bytes)
{
    return passes() && exchange_.writeChunk(bytes);
}

bool FaultyExchange::endStream()
{
    return passes() && exchange_.endStream();
}

void FaultyExchange::cut()
{
    if (passes()) {
        over_ = true;
        closeWithoutAnswer(exchange_);
    }
}

bool FaultyExchange::closed() const noexcept
{
    return faults_.closed_ != closedBefore_ || faults_.withdrawn_ || faults_.stopping_;
}

bool FaultyExchange::passes()
{
    if (over_) {
        return false;
    }
    delayOnce();
    if (silent()) {
        holdUntilCallerLeaves();
    }
    if (silent() || closed()) {
        over_ = true;
        closeWithoutAnswer(exchange_);
        return false;
    }
    return true;
}

void FaultyExchange::delayOnce()
{
    if (delayed_) {
        return;
    }
    delayed_ = true;
    const TimePoint until = BootClock::now() + millis(faults_.answerDelayMillis_);
    while (BootClock::now() < until && !closed()) {
        std::this_thread::sleep_for(std::min(LookEvery, until - BootClock::now()));
    }
}

bool FaultyExchange::silent() const noexcept
{
    return faults_.silenced_ != silencedBefore_;
}

void FaultyExchange::holdUntilCallerLeaves()
{
    while (!closed() && !exchange_.callerGone()) {
        std::this_thread::sleep_for(LookEvery);
    }
}

} // namespace almondridge::standins
