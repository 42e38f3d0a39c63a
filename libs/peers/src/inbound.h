/**
 * Incoming connections: heartbeats and requests of other instances. Used by the I/O thread only,
 * except that request handlers run on worker threads.
 */
#pragma once

#include "links.h"
#include "workers.h"

#include <unordered_map>

namespace almondridge::peers {

class Inbound
{
public:
    Inbound(ExchangeContext context, OwnedDescriptor listener);

    void startWorkers();
    /** Waits for running handlers. Must not be called from a handler or the I/O thread. */
    void stopWorkers();

    /** Handles socket readiness. False if token is neither the listener nor a connection here. */
    bool ready(std::uint64_t token, Readiness readiness);
    TimePoint advance(TimePoint now);
    void closeAll();

private:
    struct Client
    {
        std::uint64_t token_ = 0;
        PeerAddress remote_;
        Connection connection_;
        InstanceId instance_ {};        ///< Empty until a heartbeat is authenticated.
        std::string handshakeNonce_ {}; ///< The nonce of that heartbeat.
        bool closing_ = false;          ///< Rejected; closed after the answer is sent.
        bool watchesWrite_ = false;
        TimePoint deadline_ {};
    };

    /** A request for a handler thread. */
    struct Job
    {
        std::uint64_t token_ = 0;
        std::int32_t stream_ = 0;
        std::string nonce_;
        InstanceId from_;
        const RequestHandler *handler_ = nullptr;
        nlohmann::json message_;
    };

    void accept();
    void addClient(OwnedDescriptor socket, const PeerAddress &remote);
    void evictUnauthenticated();
    void close(std::uint64_t token);
    void closeOlderConnections(const Client &client);
    void flush(std::uint64_t token);
    void processRequest(Client &client, std::int32_t stream, const H2Message &request);
    bool authenticate(Client &client, std::int32_t stream, const H2Message &request);
    void refuse(Client &client, std::int32_t stream, const H2Message &request,
                std::string_view reason);
    void processHeartbeat(Client &client, std::int32_t stream, const H2Message &request);
    void dispatch(Client &client, std::int32_t stream, const H2Message &request);
    void run(Job job);
    void answer(Client &client, std::int32_t stream, const std::string &nonce, int status,
                std::string body);
    void answerError(Client &client, std::int32_t stream, const std::string &nonce,
                     const Error &error);
    TimePoint deadlineOf(const Client &client) const;
    void closeOverdue(TimePoint now);

    ExchangeContext context_;
    OwnedDescriptor listener_;
    std::uint64_t listenerToken_ = 0;
    bool listening_ = true;
    TimePoint acceptResumeTime_ {};
    std::unordered_map<std::uint64_t, Client> clients_;
    TimePoint scanDeadline_ {}; ///< Lower bound of all connections' deadlines.
    Workers workers_;
};

} // namespace almondridge::peers
