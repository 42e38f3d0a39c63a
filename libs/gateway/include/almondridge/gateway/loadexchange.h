/**
 * Sends what this instance has to tell of the load on endpoints and of those that ended, and takes
 * what others tell, by UDP.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/gateway/crashgossip.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/loadmesh.h"

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

    LoadExchange(async::EventLoop &loop, Gateway &gateway, const MeshMember &self,
                 Leadership leadership);

    /** Unavailable: the address is taken or not this machine's. */
    Result<void> listen(const net::Address &address);
    /** The fleet's instances and where they listen. */
    void setPeers(const std::vector<std::pair<MeshMember, net::Address>> &peers);
    /** Whether this instance is the one that should ask for the right to give orders. */
    bool shouldLead() const
    {
        return leadership_.mayLead_() && (leadership_.leads_() || mesh_.leads());
    }
    /** What this instance and its peers are asked for, in engines kept busy. */
    StageDemand demand(const ServiceId &service) const;
    /** An engine carries out an order of this instance's until about then: peers are told at once.
     */
    void onOrder(const EndpointId &engine, TimePoint until);

    bool isRelay() const noexcept { return mesh_.isRelay(); }
    /** The instances that relay load in their failure domains, as far as is known here. */
    std::set<InstanceId> relays() const { return mesh_.relaysOfAll(); }
    /** Datagrams that begin with this letter are told to the handler, and not taken for load. */
    using Handler = std::function<ReceiveResult(std::string_view datagram, TimePoint now)>;
    void setHandler(char mark, Handler handler);
    /** Sends what a handler's owner has to tell. */
    void send(const std::vector<MeshDatagram> &datagrams);

private:
    using Receiver = boost::asio::ip::udp::endpoint;

    void waitForDatagrams();
    void receiveAll();
    ReceiveResult onDatagram(std::string_view datagram, TimePoint now);
    void onDropped(ReceiveResult reception);
    void tick();
    LoadReport currentNote(TimePoint now) const;

    Gateway &gateway_;
    Leadership leadership_;
    boost::asio::ip::udp::socket socket_;
    async::Timer timer_;
    std::map<InstanceId, Receiver> receivers_;
    std::map<char, Handler> handlers_;
    LoadMesh mesh_;
    CrashGossip crashes_;
    std::map<EndpointId, TimePoint> changing_;
    TimePoint droppedLineAt_ {}; ///< When a line may tell of dropped datagrams again.
};

} // namespace almondridge::gateway
