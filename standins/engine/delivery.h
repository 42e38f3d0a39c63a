/**
 * Delivers an engine's answer on one connection, as it is produced.
 */
#pragma once

#include "common/faults.h"
#include "engine/answerwriter.h"
#include "engine/engine.h"

#include <optional>
#include <string>

namespace almondridge::standins {

/** Reads one stream for one connection; the stream has a reader for as long as this lives. */
class Delivery
{
public:
    /** address: where a decode engine reaches this one. All references must outlive this object. */
    Delivery(Engine &engine, FaultyExchange &exchange, std::string address);
    Delivery(const Delivery &) = delete;
    Delivery &operator=(const Delivery &) = delete;
    ~Delivery();

    /** Answers with the tokens from offset on, however long they take. */
    void run(StreamId id, std::int64_t offset);

private:
    /** Waits for tokens, for a crash or for the caller to leave. */
    std::optional<StreamView> await(std::int64_t have);
    void stream(std::int64_t offset);
    /** Writes what view has that was not written yet. False when the stream is over. */
    bool writeNews(AnswerWriter &writer, const StreamView &view);
    void answerWhole(std::int64_t offset);
    void refuseNotRun();
    AnswerEnd endOf(const StreamView &view) const;

    Engine &engine_;
    FaultyExchange &exchange_;
    std::string address_;
    std::optional<StreamStart> start_;
};

/** Answers that the request was not run. */
bool respondNotRun(FaultyExchange &exchange, std::string_view why);

} // namespace almondridge::standins
