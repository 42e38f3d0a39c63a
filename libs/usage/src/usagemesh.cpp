#include "almondridge/usage/usagemesh.h"

#include <algorithm>

namespace almondridge::usage {
namespace {

using gateway::MeshDatagram;
using gateway::ReceiveResult;

/** An instance that is killed loses the counts since its last update. */
constexpr Duration UpdateInterval = millis(400);
/** Time after a window's end in which requests that began in it may still be counted. */
constexpr Duration CloseMargin = millis(300);
/** Number of windows that are kept; longer than a report may be late. */
constexpr Window RetainedWindows = 8;
/** A reporter that isn't a collector repeats its queries within this time. */
constexpr Duration SubscriptionTime = millis(15'000);
/** Number of collectors that are queried for the counts that they got from others. */
constexpr std::size_t CollectorsQueriedInFull = 2;

void addAll(const InstanceId &to, const std::vector<std::string> &bytes,
            std::vector<MeshDatagram> &out)
{
    for (const std::string &datagram : bytes) {
        out.push_back({to, datagram});
    }
}

} // namespace

UsageMesh::UsageMesh(InstanceId self, std::uint64_t lifetime, std::int64_t windowMillis,
                     FleetClock time)
    : self_(std::move(self))
    , lifetime_(lifetime)
    , windowMillis_(windowMillis)
    , time_(std::move(time))
{ }

void UsageMesh::setMembers(std::set<InstanceId> members, std::set<InstanceId> collectors)
{
    members_ = std::move(members);
    members_.erase(self_);
    collectors_ = std::move(collectors);
    std::erase_if(subscribers_, [&](const auto &entry) { return !members_.contains(entry.first); });
}

void UsageMesh::onBegan(const AccountId &account, TimePoint began)
{
    localCounts_.onBegan(account, windowAt(time_.unixMillisAt(began), windowMillis_));
}

Window UsageMesh::openWindow(TimePoint now) const
{
    return windowAt(time_.unixMillisAt(now - CloseMargin), windowMillis_);
}

UsageUpdate UsageMesh::makeUpdate(std::vector<WindowCounts> parts, TimePoint now)
{
    return {self_,       lifetime_,       ++updateNumber_, time_.unixMillisAt(now),
            wallMillis_, std::move(parts)};
}

std::set<InstanceId> UsageMesh::receivers(TimePoint now) const
{
    std::set<InstanceId> receivers = collectors_;
    for (const auto &[subscriber, until] : subscribers_) {
        if (until > now) {
            receivers.insert(subscriber);
        }
    }
    receivers.erase(self_);
    return receivers;
}

std::vector<MeshDatagram> UsageMesh::tick(std::int64_t wallMillis, TimePoint now)
{
    wallMillis_ = wallMillis;
    if (now < nextUpdateAt_) {
        return {};
    }
    nextUpdateAt_ = now + UpdateInterval;
    time_.addSample(self_, wallMillis, now);
    if (collectors_.contains(self_)) {
        time_.adjustToMedian(now);
    }
    const Window open = openWindow(now);
    localCounts_.forgetBefore(open - RetainedWindows);
    ledger_.forgetBefore(open - RetainedWindows);
    const UsageUpdate update = makeUpdate(localCounts_.takeChanges(open), now);
    if (update.parts_.empty()) {
        return {};
    }
    ledger_.add(update);
    std::vector<MeshDatagram> datagrams;
    const std::vector<std::string> bytes = encodeUpdate(update);
    for (const InstanceId &receiver : receivers(now)) {
        addAll(receiver, bytes, datagrams);
    }
    return datagrams;
}

std::vector<MeshDatagram> UsageMesh::tickNow(std::int64_t wallMillis, TimePoint now)
{
    nextUpdateAt_ = now;
    return tick(wallMillis, now);
}

ReceiveResult UsageMesh::onDatagram(std::string_view datagram, TimePoint now,
                                    std::vector<MeshDatagram> &out)
{
    const auto message = decodeUsageMessage(datagram);
    if (!message) {
        return ReceiveResult::Malformed;
    }
    if (message->update_) {
        // Accepted from unknown senders: a collector also forwards counts of removed instances.
        onUpdate(*message->update_, now, out);
        return ReceiveResult::Accepted;
    }
    if (message->query_) {
        if (!members_.contains(message->query_->sender_)) {
            return ReceiveResult::UnknownSender;
        }
        onQuery(*message->query_, now, out);
        return ReceiveResult::Accepted;
    }
    if (!collectors_.contains(message->correction_->sender_)) {
        return ReceiveResult::UnknownSender;
    }
    onCorrection(*message->correction_);
    return ReceiveResult::Accepted;
}

/** Several collectors may correct the same update; only the first correction is applied. */
void UsageMesh::onCorrection(const ClockCorrection &correction)
{
    if (correction.updateNumber_ > correctedUpTo_) {
        correctedUpTo_ = updateNumber_;
        time_.adjustBy(correction.offsetMillis_);
    }
}

void UsageMesh::onUpdate(const UsageUpdate &update, TimePoint now, std::vector<MeshDatagram> &out)
{
    ledger_.add(update);
    if (update.wallMillis_ == 0 || !members_.contains(update.sender_)) {
        return;
    }
    time_.addSample(update.sender_, update.wallMillis_, now);
    const bool corrects = collectors_.contains(self_) && !collectors_.contains(update.sender_);
    const auto correction = corrects ? time_.correctionFor(update.timeMillis_, now) : std::nullopt;
    if (correction) {
        out.push_back({update.sender_, encodeCorrection({self_, update.number_, *correction})});
    }
}

void UsageMesh::onQuery(const UsageQuery &query, TimePoint now, std::vector<MeshDatagram> &out)
{
    subscribers_[query.sender_] = now + SubscriptionTime;
    addAll(query.sender_,
           encodeUpdate(makeUpdate(localCounts_.since(query.from_, openWindow(now)), now)), out);
    if (query.includesOthers_) {
        for (const UsageUpdate &update : ledger_.updatesSince(query.from_)) {
            addAll(query.sender_, encodeUpdate(update), out);
        }
    }
}

std::vector<MeshDatagram> UsageMesh::queryAll(Window from) const
{
    std::vector<MeshDatagram> datagrams;
    std::size_t fullQueries = 0;
    for (const InstanceId &member : members_) {
        const bool includesOthers =
            collectors_.contains(member) && fullQueries < CollectorsQueriedInFull;
        fullQueries += includesOthers ? 1 : 0;
        datagrams.push_back({member, encodeQuery({self_, from, includesOthers})});
    }
    return datagrams;
}

std::vector<MeshDatagram> UsageMesh::queryIncomplete(Window window) const
{
    std::vector<MeshDatagram> datagrams;
    for (const InstanceId &member : incompleteMembers(window)) {
        datagrams.push_back({member, encodeQuery({self_, window, false})});
    }
    return datagrams;
}

std::int64_t UsageMesh::knownSince() const
{
    return static_cast<std::int64_t>(
        std::min(lifetime_, ledger_.oldestLifetime().value_or(lifetime_)));
}

std::vector<InstanceId> UsageMesh::incompleteMembers(Window window) const
{
    std::vector<InstanceId> incompleteMembers;
    for (const InstanceId &member : members_) {
        if (!ledger_.isComplete(member, window)) {
            incompleteMembers.push_back(member);
        }
    }
    return incompleteMembers;
}

} // namespace almondridge::usage
