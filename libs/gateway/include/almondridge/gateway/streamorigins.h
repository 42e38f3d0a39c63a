/**
 * Knows where streams began, and tells other instances, so that a caller can take up its stream at
 * an instance that never saw it. No I/O and no clock: datagrams and the current time are inputs,
 * datagrams are outputs.
 *
 * The instance that begins a stream sends the stream's origin to two holders before the caller gets
 * the first event. Holders follow from the stream's key by rendezvous hashing and lie in different
 * failure domains if there are several, so any instance can compute whom to ask, whether or not the
 * first instance still runs.
 */
#pragma once

#include "almondridge/gateway/loadmesh.h"
#include "almondridge/gateway/requestkey.h"
#include "almondridge/gateway/streamorigin.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondridge::gateway {

/** First character of these datagrams. Load reports begin with a CBOR array, which never has it. */
inline constexpr char OriginDatagramMark = 'O';

enum class OriginMessageKind {
    Record, ///< The stream began there.
    Query,  ///< Where did it begin?
    Answer, ///< Of a query; without an origin if the instance doesn't know it.
};

inline constexpr std::array<EnumName<OriginMessageKind>, 3> OriginMessageKindNames {{
    {OriginMessageKind::Record, "r"},
    {OriginMessageKind::Query, "q"},
    {OriginMessageKind::Answer, "a"},
}};

struct OriginMessage
{
    OriginMessageKind kind_ = OriginMessageKind::Record;
    InstanceId sender_;
    RequestKey stream_ {};
    std::optional<StreamOrigin> origin_;
};

std::string encodeOriginMessage(const OriginMessage &message);
/** nullopt if the datagram is malformed. */
std::optional<OriginMessage> decodeOriginMessage(std::string_view datagram);

/** The result of a query for a stream. */
struct OriginAnswer
{
    RequestKey stream_ {};
    std::optional<StreamOrigin> origin_; ///< nullopt: none of the instances that answered knows.
};

class StreamOrigins
{
public:
    /** Sets the instances of the fleet; this instance itself may be among them. */
    void setMembers(const InstanceId &self, const std::vector<MeshMember> &members);

    /** Keeps the origin of a stream and returns the datagrams that tell its holders. */
    std::vector<MeshDatagram> add(RequestKey stream, const StreamOrigin &origin, TimePoint now);
    /** nullopt if this instance doesn't know the stream. */
    std::optional<StreamOrigin> find(RequestKey stream, TimePoint now) const;
    /** Begins to ask for a stream, or asks again those that have not answered. */
    std::vector<MeshDatagram> ask(RequestKey stream);
    /** Ends a query that nobody waits for any more. */
    void endQuery(RequestKey stream) { queries_.erase(stream); }
    /** out: gets the datagrams to send. */
    ReceiveResult onDatagram(std::string_view datagram, TimePoint now,
                             std::vector<MeshDatagram> &out);
    /** Queries that have ended since the last call. */
    std::vector<OriginAnswer> takeAnswers() { return std::exchange(answers_, {}); }

    std::size_t size() const noexcept { return known_.size(); }

private:
    struct Known
    {
        StreamOrigin origin_;
        TimePoint expiresAt_ {};
    };
    struct Member
    {
        InstanceId id_;
        std::uint64_t idHash_ = 0;
    };
    struct Ranked
    {
        std::uint64_t weight_ = 0;
        const Member *member_ = nullptr;

        friend bool operator>(const Ranked &left, const Ranked &right)
        {
            return left.weight_ > right.weight_;
        }
    };

    void keep(RequestKey stream, const StreamOrigin &origin, TimePoint now);
    /**
     * The first instances of each failure domain in the stream's order; the domains are in the
     * order of their first instances.
     */
    std::vector<std::vector<Ranked>> firstOfDomains(RequestKey stream, std::size_t inEach) const;
    std::vector<InstanceId> first(RequestKey stream, std::size_t domainCount,
                                  std::size_t inEach) const;
    std::vector<InstanceId> holders(RequestKey stream) const;
    std::vector<InstanceId> mayKnow(RequestKey stream) const;
    void onAnswer(const OriginMessage &message, TimePoint now);

    InstanceId self_;
    std::map<DomainId, std::vector<Member>> others_;
    std::set<InstanceId> otherIds_;
    std::map<RequestKey, Known> known_;
    std::deque<std::pair<TimePoint, RequestKey>> expiries_; ///< The earliest first.
    std::map<RequestKey, std::vector<InstanceId>> queries_; ///< Who has not answered yet.
    std::vector<OriginAnswer> answers_;
};

} // namespace almondridge::gateway
