#include "operatorclient.h"

#include "almondridge/net/httpcall.h"

#include <charconv>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace almondridge::app {
namespace {

constexpr std::int64_t CallTimeoutMillis = 15'000;
constexpr std::int64_t RetryIntervalMillis = 200;
constexpr std::int64_t MillisPerSecond = 1'000;

Result<OperatorAnswer> callOne(const net::Address &entry, const net::Request &request)
{
    BOOST_LEAF_AUTO(response,
                    net::httpCall(entry, request, BootClock::now() + millis(CallTimeoutMillis)));
    nlohmann::json body = nlohmann::json::parse(response.body_, nullptr, false);
    if (body.is_discarded()) {
        return fail(ErrorKind::Protocol, net::toString(entry) + " answered no JSON",
                    "check that --entry names entry instances");
    }
    return OperatorAnswer {response.status_, std::move(body)};
}

/** Whether another entry instance, or a later attempt, may give a better answer. */
bool isRetryable(const OperatorAnswer &answer)
{
    return answer.status_ == 503;
}

} // namespace

Result<OperatorClient> OperatorClient::fromOptions(const Options &options)
{
    OperatorClient client;
    std::stringstream list(options.value("entry"));
    for (std::string one; std::getline(list, one, ',');) {
        BOOST_LEAF_AUTO(address, net::parseAddress(one));
        client.entries_.push_back(address);
    }
    if (client.entries_.empty()) {
        return fail(ErrorKind::InvalidInput, "--entry is missing",
                    "name the addresses of entry instances, as in 127.0.0.1:8080");
    }
    const std::string retrySeconds = options.value("give-up", "10");
    const auto [end, error] = std::from_chars(
        retrySeconds.data(), retrySeconds.data() + retrySeconds.size(), client.retrySeconds_);
    if (error != std::errc() || end != retrySeconds.data() + retrySeconds.size()) {
        return fail(ErrorKind::InvalidInput, "--give-up '" + retrySeconds + "' is no number",
                    "write whole seconds");
    }
    const char *fromEnvironment = std::getenv("ALMONDRIDGE_KEY");
    client.key_ = options.value("key", fromEnvironment == nullptr ? "" : fromEnvironment);
    return client;
}

Result<OperatorAnswer> OperatorClient::call(const std::string &method, const std::string &path,
                                            const nlohmann::json &body) const
{
    net::Request request {method, path, {{"Authorization", "Bearer " + key_}}, {}};
    if (!body.is_null()) {
        request.headers_.push_back({"Content-Type", "application/json"});
        request.body_ = body.dump();
    }
    Error last {ErrorKind::Unavailable, "no entry instance answered", "check --entry"};
    bool maybeExecuted = false;
    std::optional<OperatorAnswer> refused;
    const TimePoint retryUntil = BootClock::now() + millis(retrySeconds_ * MillisPerSecond);
    do {
        for (const net::Address &entry : entries_) {
            auto answer = capture([&] { return callOne(entry, request); });
            if (answer.index() == 1) {
                last = std::get<Error>(answer);
                maybeExecuted = maybeExecuted || last.kind_ != ErrorKind::Unavailable;
                continue;
            }
            OperatorAnswer &given = std::get<0>(answer);
            if (!isRetryable(given)) {
                return std::move(given);
            }
            const auto error = given.body_.value("error", nlohmann::json::object());
            maybeExecuted = maybeExecuted || error.value("outcome", "") == "unknown";
            refused = std::move(given);
        }
        std::this_thread::sleep_for(millis(RetryIntervalMillis));
    } while (BootClock::now() < retryUntil);
    if (maybeExecuted) {
        return fail(ErrorKind::Interrupted, "no entry instance gave a definite answer",
                    "run the same command again with the same --apply-id, or ask status");
    }
    if (refused) {
        return std::move(*refused);
    }
    return fail(last);
}

} // namespace almondridge::app
