#include "almondridge/gateway/loadmesh.h"

#include "noteworth.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** Load is told at most this often; an engine reads some 3,000 tokens in the time. */
constexpr Duration TellInterval = millis(50);
/** Relays are quicker: a word passes one of them within a domain, two between domains. */
constexpr Duration RelayInterval = millis(45);
/** Without any change, so that whoever listens knows that nothing is there. */
constexpr Duration QuietInterval = millis(1'000);
/** So many others are told directly: what each of them takes is then 240 notes a second at most. */
constexpr std::size_t MostToldDirectly = 12;
/** Relays of another domain that a sum is sent to: those known to work there may be others. */
constexpr std::size_t MostRemoteRelays = 4;
/** Without a word a domain's sum, a note or a part of a digest counts no more. */
constexpr Duration SilentAfter = millis(3'000);
/** Of its own link a relay uses this share for telling its followers. */
constexpr double LinkShare = 0.1;
constexpr Duration LongestRelayInterval = millis(500);
constexpr double BitsPerMegabit = 1e6;
constexpr int BitsPerByte = 8;
/** Own notes that may be in the sums that relays tell. */
constexpr std::size_t RememberedNotes = 64;
/** Keys that one digest tells beside its loads, so that it fits into one packet. */
constexpr std::size_t MostPartsInDigest = 24;
/** Endpoints that change or were not reached; more of them have a digest of their own. */
constexpr std::size_t MostListedBesideLoads = 4;
constexpr std::size_t MostPartsInNote = 32;
/** Parts that wait to be told: more than a fleet reads anew between two digests. */
constexpr std::size_t MostPartsToTell = 1'024;
/** Endpoints that a digest names as not reached: it stays small whatever is cut off. */
constexpr std::size_t MostUnreachedTold = 32;
/** No engine is away for longer, whatever a relay says. */
constexpr std::int64_t LongestChangeMillis = 10'000;

void addLoads(const LoadTable &loads, LoadTable &sums)
{
    for (const auto &[id, load] : loads) {
        sums[id].add(load);
    }
}

template <typename Value>
void addAbsent(const std::vector<Value> &values, std::vector<Value> &to, std::size_t most)
{
    for (const Value &value : values) {
        if (to.size() < most && std::find(to.begin(), to.end(), value) == to.end()) {
            to.push_back(value);
        }
    }
}

} // namespace

LoadMesh::LoadMesh(InstanceId self, DomainId domain, double linkMbps, std::uint64_t lifetime)
    : self_(std::move(self))
    , domain_(std::move(domain))
    , linkMbps_(linkMbps)
    , lifetime_(lifetime)
    , choice_(self_, domain_)
{ }

void LoadMesh::PartsToTell::add(const std::vector<PromptMemory::Key> &parts)
{
    const std::size_t room = MostPartsToTell - std::min(MostPartsToTell, fresh_.size());
    const auto taken = static_cast<std::ptrdiff_t>(std::min(room, parts.size()));
    fresh_.insert(fresh_.end(), parts.begin(), parts.begin() + taken);
}

std::vector<PromptMemory::Key> LoadMesh::PartsToTell::take(std::size_t most)
{
    const auto end = fresh_.begin() + static_cast<std::ptrdiff_t>(std::min(most, fresh_.size()));
    std::vector<PromptMemory::Key> now(fresh_.begin(), end);
    fresh_.erase(fresh_.begin(), end);
    std::vector<PromptMemory::Key> parts = std::exchange(toldOnce_, now);
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
    choice_.setMembers(members);
    std::erase_if(followers_, [&](const InstanceId &id) { return !members_.contains(id); });
    lastSentAt_ = {}; // Whoever is new is told at once.
}

std::set<InstanceId> LoadMesh::relaysOfAll() const
{
    std::set<InstanceId> relays;
    for (const DomainId &domain : choice_.domains()) {
        for (const InstanceId &relay : choice_.firstOf(domain)) {
            relays.insert(relay);
        }
    }
    return relays;
}

bool LoadMesh::isDirect() const noexcept
{
    return members_.size() <= MostToldDirectly;
}

void LoadMesh::chooseRelays(EndpointTable &table, TimePoint now)
{
    const auto hears = [this](const InstanceId &relay, TimePoint since) {
        const auto stream = all_.find(relay);
        return stream != all_.end() && stream->second.heardAt() > since;
    };
    if (isDirect()) {
        choice_.chooseNobody();
    } else if (choice_.choose(hears, now)) {
        lastSentAt_ = {}; // The relay learns by a note whom to tell.
    }
    useStreams(table, now);
}

void LoadMesh::useStreams(EndpointTable &table, TimePoint now)
{
    heard_.setInUse(isDirect() || isRelay(), table);
    for (auto &[relay, stream] : all_) {
        stream.setInUse(relay == choice_.told(), table);
    }
    chooseDomainStreams(table, now);
}

/** Of each other domain the relay that has heard of most instances, while it is not silent. */
void LoadMesh::chooseDomainStreams(EndpointTable &table, TimePoint now)
{
    std::map<DomainId, DigestStream *> best;
    for (auto &[relay, told] : domains_) {
        DigestStream *&one = best[told.newest().domain_];
        const auto rank = [&](const DigestStream &stream) {
            const bool sounds = stream.heardAt() + RelaySilentAfter >= now;
            return std::make_tuple(sounds, stream.newest().members_, stream.isInUse());
        };
        if (one == nullptr || rank(told) > rank(*one)) {
            one = &told;
        }
    }
    for (auto &[relay, told] : domains_) {
        told.setInUse(isRelay() && best.at(told.newest().domain_) == &told, table);
    }
}

void LoadMesh::forgetSilent(EndpointTable &table, TimePoint now)
{
    heard_.forgetSilent(table, now);
    std::erase_if(followers_, [&](const InstanceId &id) { return !heard_.peers().contains(id); });
    for (auto *streams : {&all_, &domains_}) {
        for (auto &[relay, told] : *streams) {
            told.forgetSilent(table, now);
            if (told.heardAt() + SilentAfter < now) {
                told.setInUse(false, table);
            }
        }
        std::erase_if(*streams, [&](const auto &entry) {
            return entry.second.heardAt() + SilentAfter < now;
        });
    }
}

bool LoadMesh::worthSending(const LoadNote &note, TimePoint now) const
{
    return now >= lastSentAt_ + QuietInterval
           || isWorthANote(note, last_, isDirect() ? FleetSize::Few : FleetSize::Many);
}

void LoadMesh::addReadParts(const std::vector<PromptMemory::Key> &parts)
{
    notedParts_.add(parts);
}

void LoadMesh::sendNote(const LoadNote &own, TimePoint now, std::vector<MeshDatagram> &out)
{
    LoadNote note = own;
    note.number_ = ++noteNumber_;
    const std::vector<PromptMemory::Key> parts = notedParts_.take(MostPartsInNote);
    note.readParts_ = parts;
    if (isRelay()) {
        domainParts_.add(parts);
        allParts_.add(parts);
    }
    const std::string bytes = encodeNote(note);
    if (isDirect()) {
        for (const auto &[id, member] : members_) {
            out.push_back({id, bytes});
        }
    }
    for (const InstanceId &relay : choice_.toldByUs()) {
        const bool tellsUs = choice_.isAsked(relay);
        note.follows_ = tellsUs ? relay : InstanceId {};
        out.push_back({relay, tellsUs ? encodeNote(note) : bytes});
    }
    ownNotes_.push_back({note.number_, loadsOf(note), note.demand_});
    if (ownNotes_.size() > RememberedNotes) {
        ownNotes_.pop_front();
    }
    last_ = std::move(note);
    lastSentAt_ = now;
}

LoadDigest LoadMesh::emptyDigest(DigestScope scope) const
{
    LoadDigest digest;
    digest.sender_ = self_;
    digest.domain_ = domain_;
    digest.lifetime_ = lifetime_;
    digest.scope_ = scope;
    digest.members_ = static_cast<int>(heard_.peers().size());
    return digest;
}

void LoadMesh::addLeaders(const LoadNote &note, LoadDigest &digest) const
{
    if (note.leads_) {
        digest.leaders_.push_back(note.sender_);
    }
    if (note.mayLead_
        && (digest.candidate_.empty()
            || leaderRank(note.sender_) > leaderRank(digest.candidate_))) {
        digest.candidate_ = note.sender_;
    }
}

void LoadMesh::addLeaders(const LoadDigest &other, LoadDigest &digest) const
{
    addAbsent(other.leaders_, digest.leaders_, members_.size());
    if (!other.candidate_.empty()
        && (digest.candidate_.empty()
            || leaderRank(other.candidate_) > leaderRank(digest.candidate_))) {
        digest.candidate_ = other.candidate_;
    }
}

/** Numbered digests: the lists in the first one, and more where one packet would not do. */
std::vector<LoadDigest> LoadMesh::digestsOf(LoadDigest first, std::vector<LoadTable> loads,
                                            const std::vector<PromptMemory::Key> &parts)
{
    std::vector<LoadDigest> digests;
    if (first.unreached_.size() + first.changingMillis_.size() > MostListedBesideLoads) {
        digests.push_back(first);
        digests.back().number_ = ++digestNumber_;
        first.unreached_.clear();
        first.changingMillis_.clear();
    }
    const std::size_t partDigests = (parts.size() + MostPartsInDigest - 1) / MostPartsInDigest;
    const std::size_t count = std::max<std::size_t>({1, loads.size(), partDigests});
    for (std::size_t index = 0; index < count; ++index) {
        LoadDigest digest = first;
        digest.number_ = ++digestNumber_;
        if (index < loads.size()) {
            digest.loads_ = std::move(loads[index]);
        }
        const std::size_t from = std::min(parts.size(), index * MostPartsInDigest);
        const std::size_t until = std::min(parts.size(), from + MostPartsInDigest);
        digest.readParts_.assign(parts.begin() + static_cast<std::ptrdiff_t>(from),
                                 parts.begin() + static_cast<std::ptrdiff_t>(until));
        digests.push_back(std::move(digest));
        first.unreached_.clear();
        first.changingMillis_.clear();
    }
    return digests;
}

/** Of each other domain its first relays, and those that were heard of late. */
std::vector<InstanceId> LoadMesh::relaysOfOthers(TimePoint now) const
{
    std::vector<InstanceId> found;
    for (const DomainId &domain : choice_.domains()) {
        if (domain == domain_) {
            continue;
        }
        std::vector<InstanceId> relays = choice_.firstOf(domain);
        bool anyHeard = false;
        for (const auto &[relay, told] : domains_) {
            if (told.newest().domain_ == domain && told.heardAt() + QuietInterval > now) {
                anyHeard = true;
                addAbsent({relay}, relays, MostRemoteRelays);
            }
        }
        if (!anyHeard) {
            // Others stand in for them, and may not hear of this one either: each group in turn.
            const auto turn = static_cast<std::size_t>(now.time_since_epoch() / RelaySilentAfter);
            addAbsent(choice_.standInsOf(domain, turn), relays, MostRemoteRelays);
        }
        found.insert(found.end(), relays.begin(), relays.end());
    }
    return found;
}

/** The sum of this domain, to the relays of the others. */
void LoadMesh::tellDomains(const LoadNote &own, TimePoint now, std::vector<MeshDatagram> &out)
{
    LoadDigest digest = emptyDigest(DigestScope::Domain);
    LoadTable sums = loadsOf(own);
    digest.demand_ = own.demand_;
    digest.changingMillis_ = own.changingMillis_;
    digest.unreached_ = own.unreached_;
    addLeaders(own, digest);
    for (const auto &[id, peer] : heard_.peers()) {
        addLoads(loadsOf(peer.note_), sums);
        for (const auto &[service, demand] : peer.note_.demand_) {
            digest.demand_[service] += demand;
        }
        for (const auto &[engine, left] : peer.note_.changingMillis_) {
            const std::int64_t rest = left - toMillis(now - peer.heardAt_);
            if (rest > 0) {
                digest.changingMillis_[engine] = std::max(digest.changingMillis_[engine], rest);
            }
        }
        addAbsent(peer.note_.unreached_, digest.unreached_, MostUnreachedTold);
        addLeaders(peer.note_, digest);
    }
    const std::vector<InstanceId> receivers = relaysOfOthers(now);
    const std::vector<LoadTable> loads = domainWriter_.select(sums, now);
    for (const LoadDigest &one :
         digestsOf(std::move(digest), loads, domainParts_.take(MostPartsToTell))) {
        const std::string bytes = digestPrefix(0) + encodeDigest(one);
        for (const InstanceId &relay : receivers) {
            out.push_back({relay, bytes});
        }
    }
}

/** The sum of all, to those who follow this relay. */
void LoadMesh::tellFollowers(const LoadNote &own, const EndpointTable &table, TimePoint now,
                             std::vector<MeshDatagram> &out)
{
    LoadDigest digest = emptyDigest(DigestScope::All);
    LoadTable sums = loadsOf(own);
    digest.demand_ = own.demand_;
    digest.unreached_ = own.unreached_;
    addLeaders(own, digest);
    for (const auto &[id, peer] : heard_.peers()) {
        for (const auto &[service, demand] : peer.note_.demand_) {
            digest.demand_[service] += demand;
        }
        addAbsent(peer.note_.unreached_, digest.unreached_, MostUnreachedTold);
        addLeaders(peer.note_, digest);
    }
    for (const auto &[relay, told] : domains_) {
        if (told.isInUse()) {
            for (const auto &[service, demand] : told.newest().demand_) {
                digest.demand_[service] += demand;
            }
            addLeaders(told.newest(), digest);
        }
    }
    addAbsent(std::exchange(foreignUnreached_, {}), digest.unreached_, MostUnreachedTold);
    for (const auto &[id, endpoint] : table.active()) {
        EndpointLoad load {endpoint->foreignQueued_, endpoint->foreignSlotUse_,
                           endpoint->toldFailures_};
        if (!load.isNone()) {
            sums[id].add(load);
        }
        if (endpoint->changingUntil_ > now) {
            digest.changingMillis_[id] = toMillis(endpoint->changingUntil_ - now);
        }
    }
    const std::vector<LoadTable> loads = allWriter_.select(sums, now);
    std::size_t bytesSent = 0;
    const auto tell = [&](const std::vector<LoadDigest> &digests, const auto &receivers) {
        for (const LoadDigest &one : digests) {
            const std::string body = encodeDigest(one);
            for (const InstanceId &follower : receivers) {
                const auto peer = heard_.peers().find(follower);
                const std::uint64_t counted =
                    peer != heard_.peers().end() ? peer->second.note_.number_ : 0;
                out.push_back({follower, digestPrefix(counted) + body});
                bytesSent += out.back().bytes_.size();
            }
        }
    };
    if (!newFollowers_.empty()) {
        tell(digestsOf(digest, DigestWriter::split(sums), {}), newFollowers_);
        newFollowers_.clear();
    }
    tell(digestsOf(std::move(digest), loads, allParts_.take(MostPartsToTell)), followers_);
    const double seconds = static_cast<double>(bytesSent) * BitsPerByte
                           / (LinkShare * std::max(1.0, linkMbps_) * BitsPerMegabit);
    const auto pause = millis(static_cast<std::int64_t>(seconds * 1'000));
    relayTellsAt_ = now + std::clamp(pause, RelayInterval, LongestRelayInterval);
}

void LoadMesh::tellAsRelay(const LoadNote &own, const EndpointTable &table, TimePoint now,
                           std::vector<MeshDatagram> &out)
{
    if (!isRelay() || now < relayTellsAt_) {
        return;
    }
    tellDomains(own, now, out);
    tellFollowers(own, table, now, out);
}

std::vector<MeshDatagram> LoadMesh::tick(LoadNote own, EndpointTable &table, TimePoint now)
{
    own.sender_ = self_;
    own.lifetime_ = lifetime_;
    forgetSilent(table, now);
    chooseRelays(table, now);
    std::vector<MeshDatagram> out;
    if (!members_.empty() && worthSending(own, now)) {
        sendNote(own, now, out);
    }
    tellAsRelay(own, table, now, out);
    return out;
}

std::vector<MeshDatagram> LoadMesh::tellNow(LoadNote own, EndpointTable &table, TimePoint now)
{
    lastSentAt_ = {};
    relayTellsAt_ = {};
    return tick(std::move(own), table, now);
}

TimePoint LoadMesh::nextTick(TimePoint now) const
{
    return now + (isRelay() ? RelayInterval : TellInterval);
}

Reception LoadMesh::onDatagram(std::string_view bytes, EndpointTable &table, TimePoint now)
{
    if (isDigest(bytes)) {
        const auto received = decodeDigest(bytes);
        return received ? onDigest(*received, table, now) : Reception::Unreadable;
    }
    const auto note = decodeNote(bytes);
    return note ? onNote(*note, table, now) : Reception::Unreadable;
}

Reception LoadMesh::onNote(const LoadNote &note, EndpointTable &table, TimePoint now)
{
    const auto sender = members_.find(note.sender_);
    if (note.sender_ == self_ || sender == members_.end()) {
        return Reception::Unknown;
    }
    if (!isDirect() && sender->second.domain_ != domain_) {
        return Reception::Taken; // It does not know yet how many we are.
    }
    const auto before = heard_.peers().find(note.sender_);
    const bool isNew =
        before == heard_.peers().end() || before->second.note_.lifetime_ != note.lifetime_;
    if (!heard_.onNote(note, table, now)) {
        return Reception::Taken;
    }
    if (note.follows_ != self_) {
        followers_.erase(note.sender_);
    } else if (followers_.insert(note.sender_).second || isNew) {
        newFollowers_.insert(note.sender_);
    }
    toldParts_.insert(toldParts_.end(), note.readParts_.begin(), note.readParts_.end());
    if (isRelay()) {
        domainParts_.add(note.readParts_);
        allParts_.add(note.readParts_);
    }
    return Reception::Taken;
}

const LoadMesh::OwnNote *LoadMesh::ownNote(std::uint64_t number) const
{
    const auto found = std::find_if(ownNotes_.begin(), ownNotes_.end(),
                                    [&](const OwnNote &note) { return note.number_ == number; });
    return found != ownNotes_.end() ? &*found : nullptr;
}

Reception LoadMesh::onDigest(const ReceivedDigest &received, EndpointTable &table, TimePoint now)
{
    const LoadDigest &digest = received.digest_;
    const auto sender = members_.find(digest.sender_);
    if (sender == members_.end() || sender->second.domain_ != digest.domain_) {
        return Reception::Unknown;
    }
    const bool ofThisDomain = digest.domain_ == domain_;
    if (ofThisDomain != (digest.scope_ == DigestScope::All)) {
        return Reception::Unreadable;
    }
    const OwnNote *counted = ofThisDomain ? ownNote(received.countedNote_) : nullptr;
    DigestStream &stream = (ofThisDomain ? all_ : domains_)[digest.sender_];
    stream.take(digest, counted != nullptr ? &counted->loads_ : nullptr, table, now);
    for (const auto &[engine, left] : digest.changingMillis_) {
        table.onChanging(engine, now + millis(std::min(left, LongestChangeMillis)));
    }
    for (const EndpointId &endpoint : digest.unreached_) {
        table.onUnreachedByPeer(endpoint, now);
    }
    toldParts_.insert(toldParts_.end(), digest.readParts_.begin(), digest.readParts_.end());
    if (isRelay() && stream.isInUse()) {
        allParts_.add(digest.readParts_);
        addAbsent(digest.unreached_, foreignUnreached_, MostUnreachedTold);
    }
    return Reception::Taken;
}

std::vector<PromptMemory::Key> LoadMesh::takeToldParts()
{
    return std::exchange(toldParts_, {});
}

bool LoadMesh::leads() const
{
    const auto leaves = [&](const LoadDigest &digest) {
        const bool otherLeads =
            std::any_of(digest.leaders_.begin(), digest.leaders_.end(),
                        [&](const InstanceId &leader) { return leader != self_; });
        return !otherLeads
               && (digest.candidate_.empty() || leaderRank(digest.candidate_) <= leaderRank(self_));
    };
    const auto allLeave = [&](const auto &streams) {
        return std::all_of(streams.begin(), streams.end(), [&](const auto &entry) {
            return !entry.second.isInUse() || leaves(entry.second.newest());
        });
    };
    const bool heardLeave = (!isDirect() && !isRelay()) || heard_.leads(self_);
    return heardLeave && allLeave(all_) && allLeave(domains_);
}

StageDemand LoadMesh::demand(const ServiceId &service) const
{
    StageDemand sum;
    if (isDirect() || isRelay()) {
        sum = heard_.demand(service);
    }
    const auto add = [&](const DigestStream &stream) {
        const auto found = stream.newest().demand_.find(service);
        if (stream.isInUse() && found != stream.newest().demand_.end()) {
            sum += found->second;
        }
    };
    for (const auto &[relay, stream] : domains_) {
        add(stream);
    }
    for (const auto &[relay, stream] : all_) {
        add(stream);
    }
    if (!isDirect() && !isRelay() && !ownNotes_.empty()) {
        // The sum of all has this instance's part as well.
        const auto own = ownNotes_.back().demand_.find(service);
        if (own != ownNotes_.back().demand_.end()) {
            sum.readers_ = std::max(0.0, sum.readers_ - own->second.readers_);
            sum.generators_ = std::max(0.0, sum.generators_ - own->second.generators_);
        }
    }
    return sum;
}

} // namespace almondridge::gateway
