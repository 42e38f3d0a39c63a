/**
 * What a run of the load tool asks for.
 */
#pragma once

#include "almondridge/net/http.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondridge::standins {

/** A stretch of the run with one mix. */
struct PhaseOptions
{
    double seconds_ = 10;
    double rate_ = 10; ///< Requests a second.
    double promptTokens_ = 200;
    double outputTokens_ = 50;
};

/** How service calls carry their idempotency key; see docs/PROTOCOLS.md. */
enum class KeyKind {
    None,     ///< No key, never repeated.
    Claimed,  ///< Kind A: a key whose claim goes through the log.
    Numbered, ///< Kind B: a key with X-Attempt.
};

inline constexpr std::array<EnumName<KeyKind>, 3> KeyKindNames {{
    {KeyKind::None, "none"},
    {KeyKind::Claimed, "a"},
    {KeyKind::Numbered, "b"},
}};

struct LoadOptions
{
    std::vector<net::Address> entries_ {};
    std::vector<PhaseOptions> phases_ {};
    std::vector<std::string> models_ {};
    double streamedShare_ = 0.8; ///< Of all requests.
    double serviceShare_ = 0;    ///< Of all requests; the rest asks for whole answers.
    double chatShare_ = 0.3;     ///< Of the requests to models.
    std::string servicePath_ = "/service";
    KeyKind keyKind_ = KeyKind::Claimed;
    int serviceRepeats_ = 1; ///< Repetitions of a keyed call whose outcome is unknown.
    int askAgain_ = 0;       ///< Repetitions of a model call that broke before its first byte.
    std::string apiKey_ {};
    std::int64_t deadlineInMillis_ = 0;      ///< 0: none.
    std::int64_t patienceInMillis_ = 60'000; ///< A request without an end after it is lost.
    std::int64_t silenceInMillis_ = 5'000;   ///< A stream without bytes for so long is resumed.
    std::uint64_t seed_ = 1;
    std::string runName_ {}; ///< Begins all request ids; else the time makes one.
    int maxInFlight_ = 1'000;
    int prefixes_ = 20;        ///< Beginnings of prompts that requests share.
    double prefixShare_ = 0.5; ///< Of a prompt.
    std::vector<net::Address> serviceControls_ {};
    std::string outFile_ {};
    bool quiet_ = false;
};

/** Reads the command line. InvalidInput: with the usage as its remedy. */
Result<LoadOptions> readLoadOptions(int argc, char **argv);

} // namespace almondridge::standins
