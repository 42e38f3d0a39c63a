#include "almondridge/gateway/loadmesh.h"

#include "loadmeshlimits.h"
#include "reportchange.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** Minimum interval between reports; an engine reads about 3,000 tokens in this time. */
constexpr Duration ReportInterval = millis(50);
/**
 * Up to this sequence of peers, reports are sent to all of them directly. Each instance then
 * receives at most 240 reports a second.
 */
constexpr std::size_t MaxDirectPeers = 12;
/**
 * The sum of a failure domain, a report or a part of a digest expires after this time without an
 * update.
 */
constexpr Duration ExpireAfter = millis(3'000);
/** Own reports that the sums in relays' digests may include. */
constexpr std::size_t MaxOwnReports = 64;
constexpr std::size_t MaxPartsPerReport = 32;
/** No stage change takes longer; larger values from relays are reduced to this. */
constexpr std::int64_t MaxChangeMillis = 10'000;
/**
 * The demand is complete with reports from this share of the others; some may be restarting.
 */
constexpr double CompleteShare = 0.85;

} // namespace

LoadMesh::LoadMesh(InstanceId self, DomainId domain, double linkMbps, std::uint64_t lifetime)
    : self_(std::move(self))
    , domain_(std::move(domain))
    , linkMbps_(linkMbps)
    , lifetime_(lifetime)
    , relaySelector_(self_, domain_)
{ }

void LoadMesh::PendingParts::add(const std::vector<PromptCacheIndex::Key> &parts)
{
    const std::size_t room = MaxPendingParts - std::min(MaxPendingParts, unsent_.size());
    const auto taken = static_cast<std::ptrdiff_t>(std::min(room, parts.size()));
    unsent_.insert(unsent_.end(), parts.begin(), parts.begin() + taken);
}

std::vector<PromptCacheIndex::Key> LoadMesh::PendingParts::take(std::size_t maxUnsent)
{
    const auto end =
        unsent_.begin() + static_cast<std::ptrdiff_t>(std::min(maxUnsent, unsent_.size()));
    std::vector<PromptCacheIndex::Key> now(unsent_.begin(), end);
    unsent_.erase(unsent_.begin(), end);
    std::vector<PromptCacheIndex::Key> parts = std::exchange(sentOnce_, now);
    parts.insert(parts.end(), now.begin(), now.end());
    return parts;
}

void LoadMesh::setMembers(const std::vector<MeshMember> &members)
{
    members_.clear();
    for (const MeshMember &member : members) {
        if (member.id_ != self_) {
            members_[member.id_] = member;
        }
    }
    relaySelector_.setMembers(members);
    std::erase_if(followers_, [&](const InstanceId &id) { return !members_.contains(id); });
    lastReportAt_ = {}; // Sends a report to new members at once.
}

std::set<InstanceId> LoadMesh::allRelays() const
{
    std::set<InstanceId> relays;
    for (const DomainId &domain : relaySelector_.domains()) {
        for (const InstanceId &relay : relaySelector_.primaryRelays(domain)) {
            relays.insert(relay);
        }
    }
    return relays;
}

bool LoadMesh::isDirect() const noexcept
{
    return members_.size() <= MaxDirectPeers;
}

void LoadMesh::updateRelays(EndpointTable &table, TimePoint now)
{
    const auto hasReceived = [this](const InstanceId &relay, TimePoint since) {
        const auto stream = ownDomainStreams_.find(relay);
        return stream != ownDomainStreams_.end() && stream->second.lastReceivedAt() > since;
    };
    if (isDirect()) {
        relaySelector_.disable();
    } else if (relaySelector_.update(hasReceived, now)) {
        lastReportAt_ = {}; // A report informs the relay that this instance follows it.
    }
    updateStreams(table, now);
}

void LoadMesh::updateStreams(EndpointTable &table, TimePoint now)
{
    peerLoads_.setInUse(isDirect() || isRelay(), table);
    for (auto &[relay, stream] : ownDomainStreams_) {
        stream.setInUse(relay == relaySelector_.activeRelay(), table);
    }
    selectDomainStreams(table, now);
}

/**
 * For each other failure domain, selects the relay that has recent reports from the most instances;
 * relays that are not silent come first.
 */
void LoadMesh::selectDomainStreams(EndpointTable &table, TimePoint now)
{
    std::map<DomainId, DigestStream *> best;
    for (auto &[relay, digestStream] : remoteDomainStreams_) {
        DigestStream *&selected = best[digestStream.newest().domain_];
        const auto rank = [&](const DigestStream &stream) {
            const bool isLive = stream.lastReceivedAt() + RelayTimeout >= now;
            return std::make_tuple(isLive, stream.newest().members_, stream.isInUse());
        };
        if (selected == nullptr || rank(digestStream) > rank(*selected)) {
            selected = &digestStream;
        }
    }
    for (auto &[relay, digestStream] : remoteDomainStreams_) {
        digestStream.setInUse(isRelay() && best.at(digestStream.newest().domain_) == &digestStream,
                              table);
    }
}

void LoadMesh::removeExpired(EndpointTable &table, TimePoint now)
{
    peerLoads_.removeExpired(table, now);
    std::erase_if(followers_,
                  [&](const InstanceId &id) { return !peerLoads_.peers().contains(id); });
    for (auto *streams : {&ownDomainStreams_, &remoteDomainStreams_}) {
        for (auto &[relay, digestStream] : *streams) {
            digestStream.removeExpired(table, now);
            if (digestStream.lastReceivedAt() + ExpireAfter < now) {
                digestStream.setInUse(false, table);
            }
        }
        std::erase_if(*streams, [&](const auto &entry) {
            return entry.second.lastReceivedAt() + ExpireAfter < now;
        });
    }
}

bool LoadMesh::shouldSendReport(const LoadReport &report, TimePoint now) const
{
    return now >= lastReportAt_ + KeepaliveInterval
           || isSignificantChange(report, lastReport_,
                                  isDirect() ? FleetSize::Small : FleetSize::Large);
}

void LoadMesh::addReadParts(const std::vector<PromptCacheIndex::Key> &parts)
{
    reportParts_.add(parts);
}

void LoadMesh::sendReport(const LoadReport &own, TimePoint now, std::vector<MeshDatagram> &out)
{
    LoadReport report = own;
    report.sequence_ = ++reportSequence_;
    const std::vector<PromptCacheIndex::Key> parts = reportParts_.take(MaxPartsPerReport);
    report.readParts_ = parts;
    if (isRelay()) {
        domainDigestParts_.add(parts);
        followerDigestParts_.add(parts);
    }
    const std::string bytes = encodeLoadReport(report);
    if (isDirect()) {
        for (const auto &[id, member] : members_) {
            out.push_back({id, bytes});
        }
    }
    for (const InstanceId &relay : relaySelector_.reportReceivers()) {
        const bool isSubscribed = relaySelector_.isSubscribedTo(relay);
        report.followedRelay_ = isSubscribed ? relay : InstanceId {};
        out.push_back({relay, isSubscribed ? encodeLoadReport(report) : bytes});
    }
    ownReports_.push_back({report.sequence_, loadsOf(report), report.demand_});
    if (ownReports_.size() > MaxOwnReports) {
        ownReports_.pop_front();
    }
    lastReport_ = std::move(report);
    lastReportAt_ = now;
}

std::vector<MeshDatagram> LoadMesh::tick(LoadReport own, EndpointTable &table, TimePoint now)
{
    own.sender_ = self_;
    own.lifetime_ = lifetime_;
    removeExpired(table, now);
    updateRelays(table, now);
    std::vector<MeshDatagram> out;
    if (!members_.empty() && shouldSendReport(own, now)) {
        sendReport(own, now, out);
    }
    sendDigests(own, table, now, out);
    return out;
}

std::vector<MeshDatagram> LoadMesh::sendNow(LoadReport own, EndpointTable &table, TimePoint now)
{
    lastReportAt_ = {};
    nextDigestAt_ = {};
    return tick(std::move(own), table, now);
}

TimePoint LoadMesh::nextTick(TimePoint now) const
{
    return now + (isRelay() ? RelayInterval : ReportInterval);
}

ReceiveResult LoadMesh::onDatagram(std::string_view bytes, EndpointTable &table, TimePoint now)
{
    if (isDigest(bytes)) {
        const auto received = decodeDigest(bytes);
        return received ? onDigest(*received, table, now) : ReceiveResult::Malformed;
    }
    const auto report = decodeLoadReport(bytes);
    return report ? onReport(*report, table, now) : ReceiveResult::Malformed;
}

ReceiveResult LoadMesh::onReport(const LoadReport &report, EndpointTable &table, TimePoint now)
{
    const auto sender = members_.find(report.sender_);
    if (report.sender_ == self_ || sender == members_.end()) {
        return ReceiveResult::UnknownSender;
    }
    if (!isDirect() && sender->second.domain_ != domain_) {
        return ReceiveResult::Accepted; // The sender does not know the size of the fleet yet.
    }
    const auto before = peerLoads_.peers().find(report.sender_);
    const bool isNew =
        before == peerLoads_.peers().end() || before->second.report_.lifetime_ != report.lifetime_;
    if (!peerLoads_.onReport(report, table, now)) {
        return ReceiveResult::Accepted;
    }
    if (report.followedRelay_ != self_) {
        followers_.erase(report.sender_);
    } else if (followers_.insert(report.sender_).second || isNew) {
        newFollowers_.insert(report.sender_);
    }
    receivedParts_.insert(receivedParts_.end(), report.readParts_.begin(), report.readParts_.end());
    if (isRelay()) {
        domainDigestParts_.add(report.readParts_);
        followerDigestParts_.add(report.readParts_);
    }
    return ReceiveResult::Accepted;
}

const LoadMesh::OwnReport *LoadMesh::ownReport(std::uint64_t sequence) const
{
    const auto found =
        std::find_if(ownReports_.begin(), ownReports_.end(),
                     [&](const OwnReport &report) { return report.sequence_ == sequence; });
    return found != ownReports_.end() ? &*found : nullptr;
}

ReceiveResult LoadMesh::onDigest(const ReceivedDigest &received, EndpointTable &table,
                                 TimePoint now)
{
    const LoadDigest &digest = received.digest_;
    const auto sender = members_.find(digest.sender_);
    if (sender == members_.end() || sender->second.domain_ != digest.domain_) {
        return ReceiveResult::UnknownSender;
    }
    const bool isOwnDomain = digest.domain_ == domain_;
    if (isOwnDomain != (digest.scope_ == DigestScope::All)) {
        return ReceiveResult::Malformed;
    }
    const OwnReport *included = isOwnDomain ? ownReport(received.includedReport_) : nullptr;
    DigestStream &stream = (isOwnDomain ? ownDomainStreams_ : remoteDomainStreams_)[digest.sender_];
    stream.apply(digest, included != nullptr ? &included->loads_ : nullptr, table, now);
    for (const auto &[engine, remaining] : digest.changingMillis_) {
        table.onChanging(engine, now + millis(std::min(remaining, MaxChangeMillis)));
    }
    for (const EndpointId &endpoint : digest.unreached_) {
        table.onPeerReportedUnreachable(endpoint, now);
    }
    receivedParts_.insert(receivedParts_.end(), digest.readParts_.begin(), digest.readParts_.end());
    if (isRelay() && stream.isInUse()) {
        followerDigestParts_.add(digest.readParts_);
        appendMissing(digest.unreached_, remoteUnreached_, MaxUnreachedPerDigest);
    }
    return ReceiveResult::Accepted;
}

std::vector<PromptCacheIndex::Key> LoadMesh::takeReceivedParts()
{
    return std::exchange(receivedParts_, {});
}

bool LoadMesh::isPreferredLeader() const
{
    const auto allowsLeading = [&](const LoadDigest &digest) {
        const bool otherLeads =
            std::any_of(digest.leaders_.begin(), digest.leaders_.end(),
                        [&](const InstanceId &leader) { return leader != self_; });
        return !otherLeads
               && (digest.candidate_.empty() || leaderRank(digest.candidate_) <= leaderRank(self_));
    };
    const auto allAllowLeading = [&](const auto &streams) {
        return std::all_of(streams.begin(), streams.end(), [&](const auto &entry) {
            return !entry.second.isInUse() || allowsLeading(entry.second.newest());
        });
    };
    const bool peersAllowLeading =
        (!isDirect() && !isRelay()) || peerLoads_.isPreferredLeader(self_);
    return peersAllowLeading && allAllowLeading(ownDomainStreams_)
           && allAllowLeading(remoteDomainStreams_);
}

StageDemand LoadMesh::demand(const ServiceId &service) const
{
    StageDemand sum;
    if (isDirect() || isRelay()) {
        sum = peerLoads_.demand(service);
    }
    const auto add = [&](const DigestStream &stream) {
        const auto found = stream.newest().demand_.find(service);
        if (stream.isInUse() && found != stream.newest().demand_.end()) {
            sum += found->second;
        }
    };
    for (const auto &[relay, stream] : remoteDomainStreams_) {
        add(stream);
    }
    for (const auto &[relay, stream] : ownDomainStreams_) {
        add(stream);
    }
    if (!isDirect() && !isRelay() && !ownReports_.empty()) {
        // The sum of all instances includes this instance's demand.
        const auto own = ownReports_.back().demand_.find(service);
        if (own != ownReports_.back().demand_.end()) {
            sum.prefill_ = std::max(0.0, sum.prefill_ - own->second.prefill_);
            sum.decode_ = std::max(0.0, sum.decode_ - own->second.decode_);
        }
    }
    return sum;
}

bool LoadMesh::isDemandComplete() const
{
    std::size_t heard = isDirect() || isRelay() ? peerLoads_.peers().size() : 0;
    for (const auto &[relay, stream] : ownDomainStreams_) {
        if (!isDirect() && !isRelay() && stream.isInUse()) {
            // The digest counts this instance but not the relay itself.
            heard += static_cast<std::size_t>(std::max(0, stream.newest().members_));
        }
    }
    for (const auto &[relay, stream] : remoteDomainStreams_) {
        if (stream.isInUse()) {
            // The relay itself and the others of its failure domain.
            heard += 1 + static_cast<std::size_t>(std::max(0, stream.newest().members_));
        }
    }
    return static_cast<double>(heard) >= CompleteShare * static_cast<double>(members_.size());
}

} // namespace almondridge::gateway
