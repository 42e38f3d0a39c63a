/**
 * The HTTP side of one engine.
 */
#pragma once

#include "common/faults.h"
#include "engine/engine.h"
#include "engine/weightloader.h"

#include <atomic>
#include <mutex>
#include <optional>

namespace almondridge::standins {

/** Listens from start() on, but for the time that the engine is withdrawn. */
class EngineServer
{
public:
    /** The engine and the loader must outlive this object. */
    EngineServer(Engine &engine, WeightLoader &loader);
    EngineServer(const EngineServer &) = delete;
    EngineServer &operator=(const EngineServer &) = delete;
    ~EngineServer();

    /** Unavailable when the port is taken. */
    Result<void> start();
    /** Closes all connections and stops listening for good. */
    void stop();
    std::uint16_t port() const noexcept { return port_; }

    Engine &engine() noexcept { return engine_; }

    /** Crash, silence and withdrawal; see docs/PROTOCOLS.md for what each means. */
    void crash(bool unclear);
    void silence() noexcept { faults_.silence(); }
    Result<void> setWithdrawn(bool withdrawn);
    bool withdrawn() const noexcept { return faults_.withdrawn(); }
    void setAnswerDelay(std::int64_t millis) noexcept { faults_.setAnswerDelay(millis); }

private:
    struct Route;

    void handle(net::ServerExchange &exchange);
    void generate(FaultyExchange &exchange, bool chat);
    void complete(FaultyExchange &exchange) { generate(exchange, false); }
    void completeChat(FaultyExchange &exchange) { generate(exchange, true); }
    void resume(FaultyExchange &exchange);
    void cancel(FaultyExchange &exchange);
    void load(FaultyExchange &exchange);
    void cacheEvents(FaultyExchange &exchange);
    void state(FaultyExchange &exchange);
    void order(FaultyExchange &exchange);
    void giveKv(FaultyExchange &exchange);

    int answersAtOnce();
    Result<GenerationRequest> readRequest(FaultyExchange &exchange, bool chat);
    void run(FaultyExchange &exchange, GenerationRequest request);
    void importKv(GenerationRequest &request) const;
    void deliver(FaultyExchange &exchange, StreamId id, std::int64_t offset);

    Engine &engine_;
    WeightLoader &loader_;
    Faults faults_;
    const std::string ip_;
    std::atomic<std::uint16_t> port_;
    std::atomic<int> generating_ = 0; ///< Exchanges that hold a worker for an answer.
    std::mutex serverLock_;
    std::optional<net::HttpServer> server_;
};

} // namespace almondridge::standins
