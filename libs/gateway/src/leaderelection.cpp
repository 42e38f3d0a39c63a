#include "almondridge/gateway/leaderelection.h"

#include "almondridge/base/log.h"

namespace almondridge::gateway {
namespace {

/** Until the instances know of each other, and so which one asks for the right. */
constexpr Duration SettleTime = millis(2'500);

} // namespace

AuthorityKeeper::AuthorityKeeper(async::EventLoop &loop, AuthorityStore &store,
                                 AuthoritySettings settings)
    : store_(store)
    , settings_(settings)
    , authority_(settings, BootClock::now())
    , renewal_(loop)
{ }

void AuthorityKeeper::start()
{
    running_ = true;
    // Not at once: each instance that joins may take the lease away from another one, and each
    // new holder has to wait.
    renewal_.startAt(BootClock::now() + SettleTime, [this] { renew(); });
}

void AuthorityKeeper::stop()
{
    running_ = false;
    renewal_.stop();
}

std::optional<OrderRight> AuthorityKeeper::right() const
{
    return running_ ? authority_.right(BootClock::now()) : std::nullopt;
}

void AuthorityKeeper::onOvertaken()
{
    authority_.onOvertaken(BootClock::now());
}

void AuthorityKeeper::renew()
{
    const TimePoint askedAt = BootClock::now();
    renewal_.startAt(askedAt + millis(settings_.renewMillis_), [this] { renew(); });
    store_.ask([this, askedAt](std::optional<bool> named) {
        if (!named || !running_) {
            return;
        }
        if (*named != authority_.named()) {
            logEvent(LogLevel::Info, "authority", {{"named", *named ? "yes" : "no"}});
        }
        authority_.onNamed(*named, askedAt, BootClock::now());
        claimIfNeeded();
    });
}

void AuthorityKeeper::claimIfNeeded()
{
    if (claiming_ || !authority_.needsFence(BootClock::now())) {
        return;
    }
    claiming_ = true;
    store_.claim([this](std::optional<LogOffset> offset) {
        claiming_ = false;
        if (!offset) {
            return;
        }
        authority_.onClaimed(*offset, BootClock::now());
        logEvent(LogLevel::Info, "fence_claimed", {{"offset", *offset}});
    });
}

} // namespace almondridge::gateway
