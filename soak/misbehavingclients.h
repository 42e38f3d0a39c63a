/**
 * Clients beside the ordinary callers that never finish their messages, send too much, or read no
 * answers. An instance may refuse them or close their connections.
 */
#pragma once

#include "instances.h"

#include <list>
#include <random>

namespace almondridge::soak {

class MisbehavingClients
{
public:
    MisbehavingClients(async::EventLoop &loop, std::uint64_t seed);

    /** A crowd of one behaviour connects to the instance; the crowd before it leaves. */
    void sendCrowd(const InstanceProcess &instance);
    std::uint64_t sent() const noexcept { return sent_; }

private:
    struct Client
    {
        std::shared_ptr<async::Connection> connection_;
        std::size_t left_ = 0; ///< Bytes that are still to be sent.
    };

    void sendMore(Client &client);

    async::EventLoop &loop_;
    std::mt19937_64 random_;
    std::string block_;
    std::uint64_t crowd_ = 0; ///< Number of the crowd whose clients are connected.
    std::list<Client> clients_;
    std::uint64_t sent_ = 0;
};

/** Longest body that the configuration of a soak allows. */
inline constexpr std::size_t SoakBodyBytes = 1'000'000;

} // namespace almondridge::soak
