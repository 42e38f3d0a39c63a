#include "almondridge/usage/usagemesh.h"

#include <algorithm>

namespace almondridge::usage {
namespace {

using gateway::MeshDatagram;
using gateway::ReceiveResult;

/** What an instance that is killed has counted since it last told is lost. */
constexpr Duration TellInterval = millis(400);
/** After a window's end, for answers that tell of requests that began in it. */
constexpr Duration CloseMargin = millis(300);
/** Windows that are remembered: more than may be reported late. */
constexpr Window WindowsKept = 8;
/** A reporter that is no collector asks more often than this. */
constexpr Duration AskerHolds = millis(15'000);
/** Of the collectors so many are asked for what others told them. */
constexpr std::size_t BooksAsked = 2;

void addAll(const InstanceId &to, const std::vector<std::string> &bytes,
            std::vector<MeshDatagram> &out)
{
    for (const std::string &datagram : bytes) {
        out.push_back({to, datagram});
    }
}

} // namespace

UsageMesh::UsageMesh(InstanceId self, std::uint64_t lifetime, std::int64_t windowMillis,
                     TrueTime time)
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
    std::erase_if(askers_, [&](const auto &entry) { return !members_.contains(entry.first); });
}

void UsageMesh::onBegan(const AccountId &account, TimePoint began)
{
    own_.onBegan(account, windowAt(time_.millisAt(began), windowMillis_));
}

Window UsageMesh::openWindow(TimePoint now) const
{
    return windowAt(time_.millisAt(now - CloseMargin), windowMillis_);
}

UsageNote UsageMesh::ownNote(std::vector<WindowPart> parts, TimePoint now)
{
    return {self_, lifetime_, ++noteNumber_, time_.millisAt(now), wallMillis_, std::move(parts)};
}

std::set<InstanceId> UsageMesh::receivers(TimePoint now) const
{
    std::set<InstanceId> receivers = collectors_;
    for (const auto &[asker, until] : askers_) {
        if (until > now) {
            receivers.insert(asker);
        }
    }
    receivers.erase(self_);
    return receivers;
}

std::vector<MeshDatagram> UsageMesh::tick(std::int64_t wallMillis, TimePoint now)
{
    wallMillis_ = wallMillis;
    if (now < tellAt_) {
        return {};
    }
    tellAt_ = now + TellInterval;
    time_.onWallClock(self_, wallMillis, now);
    if (collectors_.contains(self_)) {
        time_.settle(now);
    }
    const Window open = openWindow(now);
    own_.forgetBefore(open - WindowsKept);
    book_.forgetBefore(open - WindowsKept);
    const UsageNote note = ownNote(own_.takeChanges(open), now);
    if (note.parts_.empty()) {
        return {};
    }
    book_.add(note);
    std::vector<MeshDatagram> datagrams;
    const std::vector<std::string> bytes = encodeNote(note);
    for (const InstanceId &receiver : receivers(now)) {
        addAll(receiver, bytes, datagrams);
    }
    return datagrams;
}

std::vector<MeshDatagram> UsageMesh::tellNow(std::int64_t wallMillis, TimePoint now)
{
    tellAt_ = now;
    return tick(wallMillis, now);
}

ReceiveResult UsageMesh::onDatagram(std::string_view datagram, TimePoint now,
                                    std::vector<MeshDatagram> &out)
{
    const auto message = decodeUsageMessage(datagram);
    if (!message) {
        return ReceiveResult::Malformed;
    }
    if (message->note_) {
        // What a collector tells of others may be of instances that are gone.
        onNote(*message->note_, now, out);
        return ReceiveResult::Accepted;
    }
    if (message->question_) {
        if (!members_.contains(message->question_->sender_)) {
            return ReceiveResult::UnknownSender;
        }
        onQuestion(*message->question_, now, out);
        return ReceiveResult::Accepted;
    }
    if (!collectors_.contains(message->correction_->sender_)) {
        return ReceiveResult::UnknownSender;
    }
    onCorrection(*message->correction_);
    return ReceiveResult::Accepted;
}

/** Several collectors correct the same note, and only the first of them counts. */
void UsageMesh::onCorrection(const TimeCorrection &correction)
{
    if (correction.note_ > correctedAfter_) {
        correctedAfter_ = noteNumber_;
        time_.correct(correction.byMillis_);
    }
}

void UsageMesh::onNote(const UsageNote &note, TimePoint now, std::vector<MeshDatagram> &out)
{
    book_.add(note);
    if (note.wallMillis_ == 0 || !members_.contains(note.sender_)) {
        return;
    }
    time_.onWallClock(note.sender_, note.wallMillis_, now);
    const bool corrects = collectors_.contains(self_) && !collectors_.contains(note.sender_);
    const auto correction = corrects ? time_.correctionOf(note.timeMillis_, now) : std::nullopt;
    if (correction) {
        out.push_back({note.sender_, encodeCorrection({self_, note.number_, *correction})});
    }
}

void UsageMesh::onQuestion(const UsageQuestion &question, TimePoint now,
                           std::vector<MeshDatagram> &out)
{
    askers_[question.sender_] = now + AskerHolds;
    addAll(question.sender_, encodeNote(ownNote(own_.since(question.from_, openWindow(now)), now)),
           out);
    if (question.ofAll_) {
        for (const UsageNote &note : book_.notesSince(question.from_)) {
            addAll(question.sender_, encodeNote(note), out);
        }
    }
}

std::vector<MeshDatagram> UsageMesh::askAll(Window from) const
{
    std::vector<MeshDatagram> datagrams;
    std::size_t books = 0;
    for (const InstanceId &member : members_) {
        const bool ofAll = collectors_.contains(member) && books < BooksAsked;
        books += ofAll ? 1 : 0;
        datagrams.push_back({member, encodeQuestion({self_, from, ofAll})});
    }
    return datagrams;
}

std::vector<MeshDatagram> UsageMesh::askMissing(Window window) const
{
    std::vector<MeshDatagram> datagrams;
    for (const InstanceId &member : missing(window)) {
        datagrams.push_back({member, encodeQuestion({self_, window, false})});
    }
    return datagrams;
}

std::int64_t UsageMesh::knownSince() const
{
    return static_cast<std::int64_t>(
        std::min(lifetime_, book_.oldestLifetime().value_or(lifetime_)));
}

std::vector<InstanceId> UsageMesh::missing(Window window) const
{
    std::vector<InstanceId> missing;
    for (const InstanceId &member : members_) {
        if (!book_.isComplete(member, window)) {
            missing.push_back(member);
        }
    }
    return missing;
}

} // namespace almondridge::usage
