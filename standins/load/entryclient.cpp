#include "load/entryclient.h"

#include "common/fieldtable.h"

namespace almondridge::standins {
namespace {

constexpr Duration ConnectTime = std::chrono::seconds(2);

std::optional<CallOutcome> outcomeCalled(std::string_view name)
{
    const std::optional<CallOutcome> outcome = valueOf(CallOutcomeNames, name);
    const bool refusal = outcome == CallOutcome::NotRun || outcome == CallOutcome::Unknown;
    return refusal ? outcome : std::nullopt;
}

} // namespace

EntryClient::EntryClient(const LoadOptions &options)
    : options_(options)
{ }

std::string EntryClient::nameOfEntry(std::size_t entry) const
{
    return net::toString(options_.entries_[entry % options_.entries_.size()]);
}

Result<OpenCall> EntryClient::open(const net::Request &request, std::size_t entry,
                                   TimePoint deadline, int &failovers) const
{
    const std::size_t count = options_.entries_.size();
    for (std::size_t tried = 0; tried < count; ++tried) {
        const std::size_t chosen = (entry + tried) % count;
        const TimePoint connectUntil = std::min(deadline, BootClock::now() + ConnectTime);
        auto connected = capture(
            [&] { return net::HttpExchange::connect(options_.entries_[chosen], connectUntil); });
        if (auto *const exchange = std::get_if<net::HttpExchange>(&connected)) {
            BOOST_LEAF_CHECK(exchange->send(request, deadline));
            return OpenCall {std::move(*exchange), chosen};
        }
        ++failovers;
    }
    return fail(ErrorKind::Unavailable, "no entry takes connections",
                "check that the entry instances run");
}

net::Headers EntryClient::commonHeaders(const PlannedCall &call,
                                        std::int64_t plannedWallMillis) const
{
    net::Headers headers {{"Content-Type", "application/json"}, {"X-Request-Id", call.id_}};
    if (!options_.apiKey_.empty()) {
        headers.push_back({"Authorization", "Bearer " + options_.apiKey_});
    }
    if (options_.deadlineInMillis_ > 0) {
        headers.push_back({"X-Request-Deadline-Ms",
                           std::to_string(plannedWallMillis + options_.deadlineInMillis_)});
    }
    return headers;
}

CallOutcome outcomeOf(const RefusalText &refusal)
{
    constexpr int ServerErrors = 500;
    constexpr int TooManyRequests = 429;
    if (const auto told = outcomeCalled(net::headerValue(refusal.headers_, "X-Outcome"))) {
        return *told;
    }
    const Json body = Json::parse(refusal.body_, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        if (const auto told = outcomeCalled(body["error"].value("outcome", ""))) {
            return *told;
        }
    }
    const bool rejected = refusal.status_ < ServerErrors && refusal.status_ != TooManyRequests;
    return rejected ? CallOutcome::Rejected : CallOutcome::Unknown;
}

} // namespace almondridge::standins
