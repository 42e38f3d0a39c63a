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
    Inbound(ExchangeParts parts, OwnedDescriptor listener);

    void startWorkers();
    /** Waits for running handlers. Must not be called from a handler or the I/O thread. */
    void stopWorkers();

    /** Handles readiness. False if token belongs to neither an incoming connection nor the
     * listener. */
    bool ready(std::uint64_t token, Readiness readiness);
    TimePoint advance(TimePoint now);
    void closeAll();

private:
    struct Guest
    {
        std::uint64_t token_ = 0;
        PeerAddress remote_;
        Connection connection_;
        InstanceId instance_ {};  ///< Empty until a heartbeat is authenticated.
        std::string greeting_ {}; ///< The nonce of that heartbeat.
        bool leaving_ = false;    ///< Rejected; closed after the answer is sent.
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
    void welcome(OwnedDescriptor socket, const PeerAddress &remote);
    void makeRoom();
    void close(std::uint64_t token);
    void closeOlder(const Guest &guest);
    void flush(std::uint64_t token);
    void takeRequest(Guest &guest, std::int32_t stream, const H2Message &request);
    bool proved(Guest &guest, std::int32_t stream, const H2Message &request);
    void refuse(Guest &guest, std::int32_t stream, const H2Message &request,
                std::string_view reason);
    void takeHeartbeat(Guest &guest, std::int32_t stream, const H2Message &request);
    void dispatch(Guest &guest, std::int32_t stream, const H2Message &request);
    void run(Job job);
    void answer(Guest &guest, std::int32_t stream, const std::string &nonce, int status,
                std::string body);
    void answerError(Guest &guest, std::int32_t stream, const std::string &nonce,
                     const Error &error);
    TimePoint deadlineOf(const Guest &guest) const;
    void closeOverdue(TimePoint now);

    ExchangeParts parts_;
    OwnedDescriptor listener_;
    std::uint64_t listenerToken_ = 0;
    bool listening_ = true;
    TimePoint acceptAgain_ {};
    std::unordered_map<std::uint64_t, Guest> guests_;
    TimePoint scanDeadline_ {}; ///< Lower bound of all connections' deadlines.
    Workers workers_;
};

} // namespace almondridge::peers
