/**
 * Decides whether this instance is cut off from its endpoints, by the results of new connections: a
 * cut may leave older ones alive. No I/O and no clock.
 *
 * A failed connection alone may mean that its endpoint is gone or that this instance is cut off.
 * Until another endpoint is reached, the failure proves nothing about the endpoint.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <array>
#include <set>

namespace almondridge::gateway {

enum class Reach {
    Connected,
    Suspected, ///< Nothing was reached since connections to several endpoints failed.
    Cut,       ///< A sample of the other endpoints could not be reached either.
};

inline constexpr std::array<EnumName<Reach>, 3> ReachNames {{
    {Reach::Connected, "connected"},
    {Reach::Suspected, "suspected"},
    {Reach::Cut, "cut"},
}};

class EndpointReach
{
public:
    /** Number of endpoints that this instance could connect to. */
    void setListed(std::size_t count) { listed_ = count; }
    /** A new connection was established. True if the state has changed. */
    bool onConnected(TimePoint now);
    /** A new connection was refused or timed out. True if the state has changed. */
    bool onConnectFailed(const EndpointId &id, TimePoint now);
    /** A request was sent to an endpoint. */
    void onSent(TimePoint now);
    /** Bytes of an answer came. */
    void onHeard();

    Reach state() const noexcept { return state_; }
    TimePoint since() const noexcept { return since_; }
    /** Endpoints that could not be reached since the last new connection. */
    const std::set<EndpointId> &failed() const noexcept { return failed_; }
    /** Whether an endpoint was reached after that time: failures until then are the endpoints'. */
    bool isProvenSince(TimePoint time) const noexcept { return connectedAt_ > time; }
    /**
     * Number of endpoints to connect to now, preferably others than those in failed(); call it at
     * short intervals.
     */
    std::size_t takeSample(TimePoint now);

private:
    bool change(Reach state, TimePoint now);
    bool isSilent(TimePoint now) const noexcept;

    std::size_t listed_ = 0;
    Reach state_ = Reach::Connected;
    TimePoint since_ {};
    TimePoint connectedAt_ {};
    TimePoint failingSince_ {}; ///< The first failure since connectedAt_.
    TimePoint nextSampleAt_ {};
    TimePoint unheardSince_ {}; ///< The first request since the last byte of an answer.
    std::set<EndpointId> failed_;
};

} // namespace almondridge::gateway
