/**
 * Sends this instance's load notes to its peers and takes theirs, by UDP.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/peerload.h"

#include <boost/asio/ip/udp.hpp>

namespace almondridge::gateway {

class LoadExchange
{
public:
    /** What peers are told of this instance's part in giving orders. */
    struct Leadership
    {
        /** Whether it reaches what the right to give orders is taken from. */
        std::function<bool()> mayLead_;
        /** Whether it has that right. */
        std::function<bool()> leads_;
    };

    LoadExchange(async::EventLoop &loop, Gateway &gateway, InstanceId self, Leadership leadership);

    /** Unavailable: the address is taken or not this machine's. */
    Result<void> listen(const net::Address &address);
    void setPeers(const std::vector<net::Address> &peers);
    /** Whether this instance is the one that should ask for the right to give orders. */
    bool shouldLead() const
    {
        return leadership_.mayLead_() && (leadership_.leads_() || loads_.leads(self_));
    }
    /** What this instance and its peers are asked for, in engines kept busy. */
    StageDemand demand(const ServiceId &service) const;
    /** An engine carries out an order of this instance's until about then: peers are told at once.
     */
    void onOrder(const EndpointId &engine, TimePoint until);

private:
    void waitForNotes();
    void receiveAll();
    void tick();
    void send(LoadNote note, TimePoint now);
    bool worthSending(const LoadNote &note, TimePoint now) const;
    LoadNote currentNote(TimePoint now) const;

    Gateway &gateway_;
    InstanceId self_;
    Leadership leadership_;
    boost::asio::ip::udp::socket socket_;
    async::Timer timer_;
    std::vector<boost::asio::ip::udp::endpoint> peers_;
    PeerLoads loads_;
    std::map<EndpointId, TimePoint> changing_;
    LoadNote last_;
    std::vector<PromptMemory::Key> toldOnce_; ///< Parts of the last note: a lost one is made good.
    TimePoint lastSentAt_ {};
    std::uint64_t lifetime_;
    std::uint64_t number_ = 0;
};

} // namespace almondridge::gateway
