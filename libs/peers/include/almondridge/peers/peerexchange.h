/**
 * Communication between entry instances: HTTP/2 requests with CBOR bodies, and membership by
 * heartbeats.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/observe/timeline.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace almondridge::peers {

struct PeerAddress
{
    std::string ip_;
    std::uint16_t port_ = 0;
};

/** State of another entry instance, as last reported. */
struct Member
{
    InstanceId instance_;
    DomainId domain_;
    PeerAddress address_;
    bool alive_ = false;   ///< Its heartbeat deadline has not passed.
    bool leaving_ = false; ///< It announced that it is shutting down.
    TimePoint heartbeatDeadline_ {};
    nlohmann::json digest_; ///< Application data from its last heartbeat.
};

/** Answers a peer's request. Called on the exchange's worker threads, without locks held. */
using RequestHandler =
    std::function<Result<nlohmann::json>(const InstanceId &from, const nlohmann::json &message)>;
/** Returns the digest to send with the next heartbeats; at most 16 KiB in CBOR. */
using DigestSource = std::function<nlohmann::json()>;
/** Called with the sender's state after a heartbeat was received. */
using DigestListener = std::function<void(const Member &)>;

class PeerExchange
{
public:
    class Builder;

    ~PeerExchange();
    PeerExchange(const PeerExchange &) = delete;
    PeerExchange &operator=(const PeerExchange &) = delete;

    /** Errors: InvalidInput: wrong settings. Unavailable: cannot listen on the address. */
    Result<void> start();
    /**
     * Fails open requests, waits for running handlers, and closes all connections. Must not be
     * called from a handler or listener.
     */
    void stop();
    /** The listening port, also if the system chose it (port 0); 0 before start(). */
    std::uint16_t port() const noexcept;

    /** Sets addresses to probe for members. They may be outdated or wrong. */
    void seed(const std::vector<PeerAddress> &addresses);
    /** All members; dead ones are kept for ten minutes. */
    std::vector<Member> members() const;

    /**
     * Sends a request and waits for the answer. Thread-safe. Errors: Unavailable: not sent.
     * Interrupted: no answer by deadline, or the connection was lost. Other kinds come from the
     * handler or describe an invalid request.
     */
    Result<nlohmann::json> request(const InstanceId &to, const std::string &topic,
                                   const nlohmann::json &message, TimePoint deadline);
    /** Announces in all further heartbeats that this instance is shutting down. */
    void setLeaving();
    /** Sends a heartbeat with a new digest on all links, without waiting for the interval. */
    void heartbeatNow();

private:
    struct State;
    explicit PeerExchange(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

class PeerExchange::Builder
{
public:
    Builder &self(InstanceId instance, DomainId domain);
    Builder &listen(PeerAddress address);
    /** Address that peers connect to, if it differs from the listening address. */
    Builder &advertise(PeerAddress address);
    /** Secret key shared by all entry instances; at least 16 characters. */
    Builder &key(std::string sharedKey);
    /** A member is dead after timeout, which should be at least three intervals. */
    Builder &heartbeat(Duration interval, Duration timeout);
    /** Heartbeat traffic limit; intervals are stretched to stay within it. 0: no limit. */
    Builder &budget(double bytesPerSecond);
    /** Receives events of kind Peer. Must outlive the exchange. */
    Builder &timeline(observe::Timeline &timeline);
    Builder &digest(DigestSource source);
    Builder &onDigest(DigestListener listener);
    Builder &handle(std::string topic, RequestHandler handler);
    std::unique_ptr<PeerExchange> build();

private:
    struct Parts;
    friend struct PeerExchange::State;
    std::shared_ptr<Parts> parts_;

public:
    Builder();
};

} // namespace almondridge::peers
