/**
 * Exchange of the work that client accounts ask for between instances, which they need to compute
 * the same shares. No I/O and no clock: datagrams and the current time are inputs, datagrams are
 * outputs.
 */
#pragma once

#include "almondridge/gateway/accountdemand.h"
#include "almondridge/gateway/loadmesh.h"
#include "almondridge/gateway/shareadmission.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::gateway {

/** First character of these datagrams. Load reports begin with a CBOR array, which never has it. */
inline constexpr char ShareDatagramMark = 'S';

/** Encodes the report within the limits, with work rounded to tenths of a millisecond a second. */
std::string encodeShareReport(const ShareReport &report);
/** nullopt if the datagram is malformed, has values out of range or names an account twice. */
std::optional<ShareReport> decodeShareReport(std::string_view datagram);

/**
 * Sends this instance's report every 250 ms: to all peers, or, with more than MaxReceivers, to a
 * part of them in turn. A report with one service, eight accounts and two sums has about 230 bytes,
 * or 260 with the headers of UDP and IP. At 88 instances, each sends and receives 348 datagrams or
 * 90 kB a second while all have demand; at 985 instances, 800 datagrams or 210 kB a second. An
 * instance without demand sends nothing.
 */
class ShareGossip
{
public:
    /**
     * With 985 instances, each peer gets a report every 1.25 s, so that none expires, which takes
     * 1.5 s; smaller parts would not reach all peers within that time.
     */
    static constexpr std::size_t MaxReceivers = 200;

    /** lifetime: increases with each restart of this instance. */
    ShareGossip(ShareAdmission &admission, InstanceId self, std::uint64_t lifetime);

    /** Sets the instances of the fleet; this instance itself may be among them. */
    void setPeers(std::vector<InstanceId> peers);
    /** Returns the datagrams that are due; the calling interval bounds the latency. */
    std::vector<MeshDatagram> tick(TimePoint now);
    /** Passes a peer's report to the admission. A report from this instance itself is dropped. */
    ReceiveResult onDatagram(std::string_view datagram, TimePoint now);

private:
    bool isPeer(const InstanceId &id) const;

    ShareAdmission &admission_;
    InstanceId self_;
    std::uint64_t lifetime_;
    std::uint64_t sequence_ = 0;
    std::vector<InstanceId> peers_;   ///< Sorted, without this instance.
    std::size_t next_ = 0;            ///< Index of the peer that is sent to first.
    std::size_t untoldReceivers_ = 0; ///< Peers that haven't been sent that there is no demand.
    TimePoint sendAt_ {};
};

} // namespace almondridge::gateway
