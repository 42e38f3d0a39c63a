/**
 * Faults of an endpoint's connections, and an exchange that obeys them.
 */
#pragma once

#include "almondridge/net/httpserver.h"
#include "common/fieldtable.h"

#include <atomic>
#include <cstdint>

namespace almondridge::standins {

/** The faults of one endpoint. Thread-safe. */
class Faults
{
public:
    /** Connections open now get no more bytes and stay open; new ones work. */
    void silence() noexcept { ++silenced_; }
    /** Connections open now are closed without an answer. */
    void closeAll() noexcept { ++closed_; }
    /** While set, every connection is closed without an answer. */
    void setWithdrawn(bool withdrawn) noexcept { withdrawn_ = withdrawn; }
    /** Each answer begins so much later; its effect does not. */
    void setAnswerDelay(std::int64_t millis) noexcept { answerDelayMillis_ = millis; }
    /** All waits end; for the end of the process. */
    void stop() noexcept { stopping_ = true; }

    bool withdrawn() const noexcept { return withdrawn_; }
    bool stopping() const noexcept { return stopping_; }

private:
    friend class FaultyExchange;

    std::atomic<std::uint64_t> silenced_ = 0;
    std::atomic<std::uint64_t> closed_ = 0;
    std::atomic<bool> withdrawn_ = false;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::int64_t> answerDelayMillis_ = 0;
};

/**
 * An exchange under faults. Each function that sends returns false when the caller is gone, was
 * cut off, or has gone away while the connection was silent.
 */
class FaultyExchange
{
public:
    /** The exchange and the faults must outlive this object. */
    FaultyExchange(net::ServerExchange &exchange, const Faults &faults);

    net::ServerExchange &request() noexcept { return exchange_; }

    bool respond(int status, const Json &body, const net::Headers &extra = {});
    bool respondError(int status, std::string_view code, std::string_view message,
                      const net::Headers &extra = {});
    bool beginStream(int status, std::string_view contentType, const net::Headers &extra = {});
    bool writeChunk(std::string_view bytes);
    bool endStream();
    /** Closes the connection, unless it is silent; then waits until the caller closes it. */
    void cut();
    /** Whether a crash or a withdrawal ended the connection. */
    bool closed() const noexcept;

private:
    /** Waits out delay and silence. False when nothing more may be sent. */
    bool passes();
    void delayOnce();
    bool silent() const noexcept;
    void holdUntilCallerLeaves();

    net::ServerExchange &exchange_;
    const Faults &faults_;
    std::uint64_t silencedBefore_;
    std::uint64_t closedBefore_;
    bool delayed_ = false;
    bool over_ = false;
};

} // namespace almondridge::standins
