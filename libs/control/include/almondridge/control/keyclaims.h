/**
 * Idempotency keys, recorded in the control log: the request of a key runs at most once, even if
 * it is repeated through other instances.
 */
#pragma once

#include "almondridge/control/controllog.h"

#include <string>

namespace almondridge::control {

/** The result of claiming or looking up an idempotency key. */
enum class KeyClaimStatus {
    Claimed,  ///< This request holds the key and has to be run.
    Finished, ///< The request ran before; httpStatus_ and body_ are its stored outcome.
    Unknown,  ///< May have been claimed before, with an unknown outcome: do not run it.
    LogOut,   ///< The log is unavailable; nothing was claimed and no earlier claim is known.
};

inline constexpr std::array<EnumName<KeyClaimStatus>, 4> KeyClaimStatusNames {{
    {KeyClaimStatus::Claimed, "claimed"},
    {KeyClaimStatus::Finished, "finished"},
    {KeyClaimStatus::Unknown, "unknown"},
    {KeyClaimStatus::LogOut, "log-out"},
}};

struct KeyClaimAnswer
{
    KeyClaimStatus status_ = KeyClaimStatus::LogOut;
    int httpStatus_ = 0;
    std::string body_;
};

/** Thread-safe. The log must outlive it. */
class LogKeyClaims
{
public:
    LogKeyClaims(ControlLog &log, InstanceId self);

    /**
     * Claims key for request, which may run only if the status is Claimed. Returns LogOut
     * immediately when the log is unreachable.
     */
    KeyClaimAnswer claim(const std::string &key, const RequestId &request, TimePoint deadline);

    /**
     * Looks up a key without claiming it, after reading the log to its end if possible. A key
     * that is not found is Unknown, because a request may have run while the log was unavailable.
     */
    KeyClaimAnswer lookUp(const std::string &key, TimePoint deadline);

    /**
     * Stores the outcome for later repeats without waiting; ControlLog::flush() waits for it. An
     * outcome with too long a body is stored as unknown.
     */
    void finish(const std::string &key, const RequestId &request, int httpStatus,
                const std::string &body);

private:
    std::optional<KeyClaimAnswer> lookUpFolded(const std::string &key) const;

    ControlLog &log_;
    const InstanceId self_;
};

} // namespace almondridge::control
