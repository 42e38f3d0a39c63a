/**
 * One request to a model, streamed or whole, checked token for token.
 */
#pragma once

#include "common/fieldtable.h"
#include "load/answercheck.h"
#include "load/entryclient.h"
#include "load/eventreader.h"

namespace almondridge::standins {

/** Runs once, on one thread. */
class ModelCall
{
public:
    /** planned: when the request should go out; all times count from it. */
    ModelCall(const EntryClient &client, const PlannedCall &call, TimePoint planned);

    CallResult run();

private:
    /** Where a connection left the request. */
    enum class Progress {
        Over,   ///< result_ has the outcome.
        Broken, ///< The connection ended or went silent before the end.
    };

    net::Request request() const;
    Progress ask(std::size_t entry);
    Result<Progress> exchange(std::size_t entry);
    Progress resume(std::size_t entry);
    Result<Progress> exchangeResume(std::size_t entry);
    /** Asks other entries for the rest until there is an end. */
    void resumeUntilOver();

    Result<Progress> readEvents(net::HttpExchange &exchange);
    Progress takeEvents();
    Progress takeEvent(const std::string &data);
    Result<Progress> readWhole(net::HttpExchange &exchange);
    Result<Progress> refuse(net::HttpExchange &exchange, const net::ResponseHead &head);
    Progress takeText(const Json &text);
    Progress end(CallOutcome outcome, std::string detail);
    Progress broken(const Error &error);
    Progress broken(std::string detail);
    void noteTokens(std::int64_t before);

    const EntryClient &client_;
    const PlannedCall &call_;
    TimePoint planned_;
    TimePoint patienceEnds_;
    std::int64_t plannedWallMillis_;
    PromptText prompt_;
    AnswerCheck check_;
    EventReader events_;
    CallResult result_;
    std::string resumeToken_;
    std::size_t entry_ = 0;    ///< That answered last.
    std::size_t notFound_ = 0; ///< Resumptions answered with 404.
    bool answered_ = false;    ///< An answer has begun.
    TimePoint lastToken_ {};
};

} // namespace almondridge::standins
