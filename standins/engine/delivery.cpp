#include "engine/delivery.h"

namespace almondridge::standins {
namespace {

/** How long a worker waits for tokens before it looks whether its caller is still there. */
constexpr Duration LookEvery = std::chrono::milliseconds(500);

} // namespace

Delivery::Delivery(Engine &engine, FaultyExchange &exchange, std::string address)
    : engine_(engine)
    , exchange_(exchange)
    , address_(std::move(address))
{ }

Delivery::~Delivery()
{
    if (start_) {
        engine_.detach(start_->id_);
    }
}

void Delivery::run(StreamId id, std::int64_t offset)
{
    start_ = engine_.attach(id);
    if (!start_) {
        exchange_.cut();
    } else if (start_->shape_.streamed_) {
        stream(offset);
    } else {
        answerWhole(offset);
    }
}

std::optional<StreamView> Delivery::await(std::int64_t have)
{
    for (;;) {
        const StreamView view =
            engine_.waitForTokens(start_->id_, have, BootClock::now() + LookEvery);
        if (exchange_.closed()) {
            exchange_.cut();
            return std::nullopt;
        }
        if (view.produced_ > have || isOver(view.status_)) {
            return view;
        }
        if (exchange_.request().callerGone()) {
            return std::nullopt;
        }
    }
}

void Delivery::stream(std::int64_t offset)
{
    AnswerWriter writer(*start_, offset);
    bool begun = false;
    for (;;) {
        const std::optional<StreamView> view = await(writer.offset());
        if (!view) {
            return;
        }
        if (view->status_ == StreamStatus::NotRun) {
            refuseNotRun();
            return;
        }
        if (!begun && !exchange_.beginStream(200, "text/event-stream")) {
            return;
        }
        begun = true;
        if (!writeNews(writer, *view)) {
            return;
        }
    }
}

bool Delivery::writeNews(AnswerWriter &writer, const StreamView &view)
{
    std::string events;
    const AnswerEnd end = endOf(view);
    while (writer.offset() < view.produced_) {
        events += writer.nextEvent(end);
    }
    if (view.status_ == StreamStatus::Done) {
        events += DoneEvent;
    } else if (view.status_ == StreamStatus::Dropped) {
        events += errorEvent("deadline_exceeded", "the deadline passed");
    }
    if (!events.empty() && !exchange_.writeChunk(events)) {
        return false;
    }
    if (view.status_ == StreamStatus::Done || view.status_ == StreamStatus::Dropped) {
        exchange_.endStream();
    } else if (isOver(view.status_)) {
        exchange_.cut();
    }
    return !isOver(view.status_);
}

void Delivery::answerWhole(std::int64_t offset)
{
    // Only its end is of interest, so more tokens are waited for than there will be.
    const std::optional<StreamView> view = await(start_->maxTokens_);
    if (!view) {
        return;
    }
    if (view->status_ == StreamStatus::NotRun) {
        refuseNotRun();
    } else if (view->status_ == StreamStatus::Done) {
        exchange_.respond(200, AnswerWriter(*start_, offset).wholeAnswer(endOf(*view)));
    } else if (view->status_ == StreamStatus::Dropped) {
        exchange_.respondError(504, "deadline_exceeded", "the deadline passed");
    } else {
        exchange_.cut();
    }
}

void Delivery::refuseNotRun()
{
    respondNotRun(exchange_, "taken out of the queue before it started");
}

AnswerEnd Delivery::endOf(const StreamView &view) const
{
    AnswerEnd end;
    end.cachedTokens_ = view.cachedTokens_;
    if (!view.kvTicket_.empty()) {
        end.kvTransferParams_ = {{"remote_address", address_},
                                 {"ticket", view.kvTicket_},
                                 {"tokens", start_->prompt_.words()}};
    }
    return end;
}

bool respondNotRun(FaultyExchange &exchange, std::string_view why)
{
    return exchange.respondError(503, "not_run", why, {{"Retry-After", "1"}});
}

} // namespace almondridge::standins
