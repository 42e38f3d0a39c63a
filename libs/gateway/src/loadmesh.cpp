#include "almondridge/gateway/loadmesh.h"

#include "loadmeshlimits.h"
#include "noteworth.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

/** Load is told at most this often; an engine reads some 3,000 tokens in the time. */
constexpr Duration TellInterval = millis(50);
/** So many others are told directly: what each of them takes is then 240 notes a second at most. */
constexpr std::size_t MostToldDirectly = 12;
/** Without a word a domain's sum, a note or a part of a digest counts no more. */
constexpr Duration SilentAfter = millis(3'000);
/** Own notes that may be in the sums that relays tell. */
constexpr std::size_t RememberedNotes = 64;
constexpr std::size_t MostPartsInNote = 32;
/** No engine is away for longer, whatever a relay says. */
constexpr std::int64_t LongestChangeMillis = 10'000;

} // namespace

LoadMesh::LoadMesh(InstanceId self, DomainId domain, double linkMbps, std::uint64_t lifetime)
    : self_(std::move(self))
    , domain_(std::move(domain))
    , linkMbps_(linkMbps)
    , lifetime_(lifetime)
    , choice_(self_, domain_)
{ }

void LoadMesh::PartsToTell::add(const std::vector<PromptCacheIndex::Key> &parts)
{
    const std::size_t room = MostPartsToTell - std::min(MostPartsToTell, fresh_.size());
    const auto taken = static_cast<std::ptrdiff_t>(std::min(room, parts.size()));
    fresh_.insert(fresh_.end(), parts.begin(), parts.begin() + taken);
}

std::vector<PromptCacheIndex::Key> LoadMesh::PartsToTell::take(std::size_t most)
{
    const auto end = fresh_.begin() + static_cast<std::ptrdiff_t>(std::min(most, fresh_.size()));
    std::vector<PromptCacheIndex::Key> now(fresh_.begin(), end);
    fresh_.erase(fresh_.begin(), end);
    std::vector<PromptCacheIndex::Key> parts = std::exchange(toldOnce_, now);
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

void LoadMesh::addReadParts(const std::vector<PromptCacheIndex::Key> &parts)
{
    notedParts_.add(parts);
}

void LoadMesh::sendNote(const LoadNote &own, TimePoint now, std::vector<MeshDatagram> &out)
{
    LoadNote note = own;
    note.number_ = ++noteNumber_;
    const std::vector<PromptCacheIndex::Key> parts = notedParts_.take(MostPartsInNote);
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
        table.onPeerReportedUnreachable(endpoint, now);
    }
    toldParts_.insert(toldParts_.end(), digest.readParts_.begin(), digest.readParts_.end());
    if (isRelay() && stream.isInUse()) {
        allParts_.add(digest.readParts_);
        addAbsent(digest.unreached_, foreignUnreached_, MostUnreachedTold);
    }
    return Reception::Taken;
}

std::vector<PromptCacheIndex::Key> LoadMesh::takeToldParts()
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
