/**
 * Sends this instance's load on endpoints and its news of endpoint crashes to its peers over UDP,
 * and processes what peers send.
 */
#pragma once

#include "almondridge/async/eventloop.h"
#include "almondridge/base/logratelimiter.h"
#include "almondridge/gateway/crashgossip.h"
#include "almondridge/gateway/gateway.h"
#include "almondridge/gateway/limitgossip.h"
#include "almondridge/gateway/loadmesh.h"
#include "almondridge/gateway/sharegossip.h"

#include <boost/asio/ip/udp.hpp>

namespace almondridge::gateway {

class LoadExchange
{
public:
    /** This instance's state in the election of the instance that gives orders, for its reports. */
    struct Leadership
    {
        /** Whether this instance reaches the store that grants the lease to give orders. */
        std::function<bool()> canLead_;
        /** Whether this instance holds that lease. */
        std::function<bool()> isLeader_;
    };

    LoadExchange(async::EventLoop &loop, Gateway &gateway, const MeshMember &self,
                 Leadership leadership);

    /** Error Unavailable: the address is in use or does not belong to this machine. */
    Result<void> listen(const net::Address &address);
    /** Sets the fleet's instances and their addresses. */
    void setPeers(const std::vector<std::pair<MeshMember, net::Address>> &peers);
    /** Whether this instance should ask for the lease to give orders. */
    bool shouldLead() const
    {
        return canLead() && (leadership_.isLeader_() || mesh_.isPreferredLeader());
    }
    /** Returns the demand of this instance and its peers, in busy engines. */
    StageDemand demand(const ServiceId &service) const;
    /**
     * Whether demand() covers nearly the whole fleet; an instance that is cut off knows too little.
     */
    bool isDemandComplete() const { return !gateway_.isCutOff() && mesh_.isDemandComplete(); }
    /**
     * An engine carries out an order of this instance until about that time; peers are told at
     * once.
     */
    void onOrder(const EndpointId &engine, TimePoint until);

    bool isRelay() const noexcept { return mesh_.isRelay(); }
    /** The known relays of all failure domains. */
    std::set<InstanceId> relays() const { return mesh_.allRelays(); }
    /**
     * Datagrams that start with this character are passed to the handler and not processed as load.
     */
    using Handler = std::function<ReceiveResult(std::string_view datagram, TimePoint now)>;
    void setHandler(char mark, Handler handler);
    /** Sends datagrams of a handler's owner. */
    void send(const std::vector<MeshDatagram> &datagrams);

private:
    using UdpAddress = boost::asio::ip::udp::endpoint;

    /** An instance that is cut off from the endpoints could give them no orders. */
    bool canLead() const { return leadership_.canLead_() && !gateway_.isCutOff(); }
    void waitForDatagrams();
    void receiveAll();
    ReceiveResult onDatagram(std::string_view datagram, TimePoint now);
    void onDropped(ReceiveResult result);
    void tick();
    void exchangeShares(TimePoint now);
    void logLearnedLimits(TimePoint now);
    LoadReport currentReport(TimePoint now) const;

    Gateway &gateway_;
    Leadership leadership_;
    boost::asio::ip::udp::socket socket_;
    async::Timer timer_;
    std::map<InstanceId, UdpAddress> peerAddresses_;
    std::map<char, Handler> handlers_;
    LoadMesh mesh_;
    CrashGossip crashGossip_;
    LimitGossip limitGossip_;
    std::optional<ShareGossip> shareGossip_; ///< Empty: capacity isn't shared.
    TimePoint nextShortageCheck_ {};
    LogRateLimiter limitLines_;
    std::map<EndpointId, TimePoint> changing_;
    TimePoint nextDropLogAt_ {}; ///< Earliest time of the next log line about dropped datagrams.
};

} // namespace almondridge::gateway
