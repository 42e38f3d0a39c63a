/**
 * Test helpers: exchanges on the loopback interface and a TCP forwarder between them.
 */
#pragma once

#include "almondridge/peers/peerexchange.h"
#include "connection.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace almondridge::peers::test {

inline const std::string SharedKey = "sixteen characters or more";
inline constexpr Duration Interval = millis(50);
/** Long enough that no member times out on a busy machine. */
inline constexpr Duration Timeout = millis(3'000);

inline TimePoint soon()
{
    return BootClock::now() + millis(30'000);
}

/** Waits until condition is true. False after 30 s, a limit for hanging tests. */
template <typename Condition>
bool eventually(Condition &&condition)
{
    const TimePoint deadline = soon();
    while (!condition()) {
        if (BootClock::now() > deadline) {
            return false;
        }
        std::this_thread::yield();
    }
    return true;
}

inline PeerExchange::Builder builder(const std::string &id, const std::string &domain = "north")
{
    PeerExchange::Builder result;
    result.self(InstanceId(id), DomainId(domain)).listen({"127.0.0.1", 0}).key(SharedKey);
    // No budget: at this short interval it would slow down even small fleets.
    result.heartbeat(Interval, Timeout).budget(0);
    result.digest([id] { return nlohmann::json {{"from", id}}; });
    result.handle("echo", [](const InstanceId &from, const nlohmann::json &message) {
        return Result<nlohmann::json>({{"from", from.value()}, {"message", message}});
    });
    return result;
}

inline PeerAddress addressOf(const PeerExchange &exchange)
{
    return {"127.0.0.1", exchange.port()};
}

/** Builds, seeds and starts an exchange. */
inline std::unique_ptr<PeerExchange> launch(PeerExchange::Builder builder,
                                            const std::vector<PeerAddress> &seeds = {})
{
    std::unique_ptr<PeerExchange> exchange = builder.build();
    exchange->seed(seeds);
    exchange->start().value();
    return exchange;
}

inline std::optional<Member> memberOf(const PeerExchange &exchange, const std::string &id)
{
    for (const Member &member : exchange.members()) {
        if (member.instance_.value() == id) {
            return member;
        }
    }
    return std::nullopt;
}

inline bool seesAlive(const PeerExchange &exchange, const std::string &id)
{
    const auto member = memberOf(exchange, id);
    return member && member->alive_;
}

inline ErrorKind kindOf(const std::variant<nlohmann::json, Error> &outcome)
{
    return std::get<Error>(outcome).kind_;
}

inline std::variant<nlohmann::json, Error>
sendRequest(PeerExchange &exchange, const std::string &to, const std::string &topic,
            const nlohmann::json &message, TimePoint deadline = soon())
{
    return capture([&] { return exchange.request(InstanceId(to), topic, message, deadline); });
}

/** TCP forwarder that can silence its connections. */
class Forwarder
{
public:
    Forwarder();
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    PeerAddress address() const { return {"127.0.0.1", port_}; }
    void forwardTo(std::uint16_t port) { target_ = port; }
    /** Open connections stay open but carry no more data; new ones work. */
    void silenceOpen();
    std::size_t accepted() const { return accepted_; }
    /** Bytes that the first client sent. */
    std::string recorded() const;

private:
    struct Pair
    {
        OwnedDescriptor client_;
        OwnedDescriptor server_;
        bool silent_ = false;
        bool recorded_ = false;
    };

    void run();
    void accept();
    bool pass(const OwnedDescriptor &from, const OwnedDescriptor &to, bool record);

    std::uint16_t port_ = 0;
    OwnedDescriptor listener_;
    std::atomic<std::uint16_t> target_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> accepted_ = 0;
    mutable std::mutex mutex_;
    std::vector<Pair> pairs_;
    std::string recorded_;
    std::thread thread_;
};

/** Blocking TCP connection for arbitrary bytes. */
class RawClient
{
public:
    explicit RawClient(std::uint16_t port);

    void send(std::string_view bytes);
    /** Bytes received until the other side closes, or enough() returns true. */
    template <typename Enough>
    std::string receiveUntil(Enough &&enough)
    {
        std::string bytes;
        while (!enough(bytes) && receiveSome(bytes)) { }
        return bytes;
    }
    /** Waits until the other side closes; false if nothing arrives for 30 s. */
    bool closedByPeer();

private:
    bool receiveSome(std::string &bytes);

    OwnedDescriptor socket_;
};

} // namespace almondridge::peers::test
