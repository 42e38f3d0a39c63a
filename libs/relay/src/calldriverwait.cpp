#include "calldriver.h"

#include <algorithm>
#include <array>
#include <poll.h>
#include <utility>

namespace almondridge::relay {
namespace {

/** Interval at which a caller whose socket cannot be polled is checked. */
constexpr std::int64_t CallerCheckIntervalMillis = 250;
constexpr std::size_t ReadBytes = 16'384;

} // namespace

TimePoint CallDriver::waitUntil() const
{
    const TimePoint now = BootClock::now();
    const TimePoint wake =
        std::min(machine_.wakeAt(), now + millis(context_.settings_.interTokenTimeoutMillis_ * 2));
    const bool polled = !callerIsPipelining_ && caller_.callerSocket() >= 0;
    if (polled || callerKnownGone_) {
        return wake;
    }
    return std::min(wake, now + millis(CallerCheckIntervalMillis));
}

int CallDriver::watchedSocket()
{
    return callerIsPipelining_ || callerKnownGone_ ? -1 : caller_.callerSocket();
}

void CallDriver::waitWithoutConnection()
{
    // Waits in short slices, so that the caller is checked also when its socket cannot be polled.
    const TimePoint until =
        std::min(waitUntil(), BootClock::now() + millis(CallerCheckIntervalMillis));
    pollfd entry {watchedSocket(), POLLIN | POLLRDHUP, 0};
    const int wait = static_cast<int>(millisUntil(until, BootClock::now())) + 1;
    const bool ready = ::poll(&entry, 1, wait) > 0;
    onNoData(ready ? net::ReadStatus::WatchedReady : net::ReadStatus::Timeout);
}

void CallDriver::awaitHead()
{
    const net::ReadStatus status = endpointExchange_->waitForInput(waitUntil(), watchedSocket());
    if (status != net::ReadStatus::Data) {
        onNoData(status);
        return;
    }
    // Response heads are short, so the rest must follow within the connect timeout.
    const TimePoint until = BootClock::now() + millis(context_.settings_.connectTimeoutMillis_);
    const auto head = capture([&] { return endpointExchange_->readHead(until); });
    if (head.index() != 0) {
        endpointExchange_.reset();
        onLost(true);
        return;
    }
    headRead_ = true;
    if (connectionUse_ == ConnectionUse::Check) {
        endpointExchange_.reset();
        push(EngineChecked {connection_, true});
    } else {
        onHead(std::get<0>(head));
    }
}

void CallDriver::readBody()
{
    std::array<char, ReadBytes> buffer;
    const auto read =
        capture([&] { return endpointExchange_->readSome(buffer, waitUntil(), watchedSocket()); });
    if (read.index() != 0) {
        endpointExchange_.reset();
        onLost(true);
        return;
    }
    const net::ReadResult &result = std::get<0>(read);
    if (result.status_ == net::ReadStatus::Data) {
        onBytes({buffer.data(), result.size_});
    } else if (result.status_ == net::ReadStatus::End) {
        onEnd();
    } else {
        onNoData(result.status_);
    }
}

void CallDriver::onNoData(net::ReadStatus status)
{
    const bool ready = status == net::ReadStatus::WatchedReady;
    const bool checkCaller = ready || callerIsPipelining_ || caller_.callerSocket() < 0;
    if (checkCaller && !callerKnownGone_) {
        if (caller_.callerGone()) {
            callerKnownGone_ = true;
            push(CallerGone {});
        } else if (ready) {
            callerIsPipelining_ = true;
        }
    }
    if (BootClock::now() >= machine_.wakeAt()) {
        push(TimePassed {});
    }
    keepAlive();
}

} // namespace almondridge::relay
