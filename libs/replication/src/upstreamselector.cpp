#include "almondridge/replication/upstreamselector.h"

#include "almondridge/gateway/promptmemory.h"
#include "almondridge/replication/protocol.h"

#include <algorithm>

namespace almondridge::replication {
namespace {

/** A first read of ours: a call over a connection that is silent, and one over a new one. */
constexpr Duration OwnReadTime = millis(500);
/**
 * So long a peer that is of use is asked on, although one that comes before it may be back: each
 * change of the peer is a whole list, and one that the store turns away looks back too early.
 */
constexpr Duration KeptFor = millis(10'000);
/** Between two tests of a store that does not answer this instance; doubles up to the longest. */
constexpr std::int64_t FirstTestMillis = 500;
/** Those that come first find out for all others when the store is back. */
constexpr std::int64_t LongestTestMillisOfFirst = 1'000;
/**
 * The others ask them, and look for themselves in case that these alone are turned away: more
 * rarely in a large failure domain, so that all of them together call as often.
 */
constexpr std::int64_t LongestTestMillis = 6'000;
constexpr std::int64_t LongestTestMillisOfOne = 150;
/** The first one of others, who have not called it themselves. */
constexpr std::int64_t FirstTestMillisOfOthers = 2'000;
constexpr std::int64_t FirstTestMillisOfOne = 50;
/** After a test of theirs that failed. */
constexpr std::int64_t SecondTestMillisOfOne = 20;
constexpr int MostDoublings = 8;
/**
 * Where so many peers are of no use, the store is taken to be away for all: with a third of the
 * instances turned away that is hardly ever wrong. The others need not find out each for itself.
 */
constexpr std::size_t MostPassedOver = 10;
/** An answer of the store says for so long that it answers. */
constexpr Duration AnswerHolds = millis(4'000);
/** On their way news seem to grow younger by this much at most, as clocks are not compared. */
constexpr Duration EchoMargin = millis(200);
/** Pauses differ by up to half, so that instances that failed together do not call together. */
constexpr std::uint64_t JitterParts = 64;

} // namespace

NewsSource::NewsSource(InstanceId self, Duration leaveBound)
    : self_(self)
    , leaveBound_(leaveBound)
    , readers_(std::move(self))
{ }

void NewsSource::setMembers(std::vector<Member> members)
{
    readers_.setMembers(std::move(members));
}

void NewsSource::onNews(TimePoint readAt)
{
    mustRead_ = false;
    // Peers also tell what they had from us: only what was read after our loss is news.
    if (readAt > lostAt_ + EchoMargin) {
        withoutNews_ = false;
    }
    if (current_.kind_ == SourceKind::Peer) {
        readers_.onUseful(current_.peer_);
    }
    if (store_ == StoreState::Fails && !withoutNews_ && !readers_.comesFirst()) {
        store_ = StoreState::Unknown; // Tested when this instance is to read, and not before.
    }
}

void NewsSource::onUseless(Uselessness cause, std::optional<Duration> age, TimePoint now)
{
    if (current_.kind_ != SourceKind::Peer) {
        return;
    }
    readers_.onUseless(current_.peer_, cause, now);
    // Readers of a failure domain can fall silent together, and whoever waits for one after the
    // other learns beyond the bound that an endpoint left: another one is asked only while its
    // silence would still leave time for a read of our own.
    // One that has lost the store says so at once, and costs no time. Whoever knows nothing yet
    // sends nothing, and has no bound to keep: hundreds that start together would all read.
    const bool late = age && *age + LongestSilence + OwnReadTime > leaveBound_;
    mustRead_ = mustRead_ || (late && cause != Uselessness::Lost);
}

void NewsSource::onStoreAnswered(TimePoint now)
{
    const bool wasTurnedAway = store_ == StoreState::Fails;
    store_ = StoreState::Answers;
    answersUntil_ = now + AnswerHolds;
    testing_ = false;
    mustTest_ = false;
    withoutNews_ = false;
    failures_ = 0;
    mustRead_ = mustRead_ && current_.kind_ == SourceKind::Peer;
    if (wasTurnedAway && current_.kind_ != SourceKind::OwnReads) {
        // It may be back for the others as well: those that come first find out within a second
        // and read for all. Else the peers are gone through once more, and then this one reads.
        readers_.onStoreBack();
        waitsUntil_ = readers_.comesFirst() ? now : now + millis(LongestTestMillisOfFirst);
    }
}

void NewsSource::onStoreFailed(TimePoint now)
{
    if (mustRead_ && mustTest_ && failures_ == 0) {
        // A connection that was kept may be silent though the store is there. With the bound near,
        // the next one is tried at once.
        ++failures_;
        testing_ = false;
        return;
    }
    const bool isFirst = readers_.comesFirst();
    const std::int64_t shortest =
        isFirst ? FirstTestMillis : forAll(FirstTestMillis, SecondTestMillisOfOne);
    const std::int64_t longest =
        isFirst ? LongestTestMillisOfFirst : forAll(LongestTestMillis, LongestTestMillisOfOne);
    onUnanswered(std::min(longest, shortest << std::min(failures_, MostDoublings)), now);
    ++failures_;
}

std::int64_t NewsSource::forAll(std::int64_t least, std::int64_t millisOfOne) const
{
    return std::max(least, static_cast<std::int64_t>(readers_.size()) * millisOfOne);
}

void NewsSource::onUnanswered(std::int64_t pauseMillis, TimePoint now)
{
    if (store_ != StoreState::Fails) {
        withoutNews_ = true;
        lostAt_ = now;
    }
    store_ = StoreState::Fails;
    testing_ = false;
    mustTest_ = false;
    const auto part = gateway::rendezvousWeight(self_.value(), ++tests_) % JitterParts;
    testAt_ =
        now + millis(pauseMillis / 2 + pauseMillis * static_cast<std::int64_t>(part) / JitterParts);
}

/** Whether others of those that read are of no use, so that the store may be the cause. */
bool NewsSource::isTrouble(TimePoint now) const
{
    return mustRead_ || readers_.countPassedOver(now) > 0;
}

const Source &NewsSource::choose(TimePoint now)
{
    if (store_ == StoreState::Answers && current_.kind_ != SourceKind::OwnReads
        && now >= answersUntil_) {
        store_ = StoreState::Unknown;
    }
    Source wanted = this->wanted(now);
    const bool begins = wanted != current_;
    if (begins && wanted.kind_ == SourceKind::OwnReads && store_ != StoreState::Answers
        && isTrouble(now) && !readers_.allRead()) {
        mustTest_ = true;
        return current_;
    }
    mustTest_ = false;
    current_ = std::move(wanted);
    return current_;
}

Source NewsSource::wanted(TimePoint now)
{
    Source ownReads {SourceKind::OwnReads, {}};
    if (readers_.allRead()) {
        return ownReads;
    }
    const bool allUseless = readers_.countPassedOver(now) >= MostPassedOver;
    const bool reads = current_.kind_ == SourceKind::OwnReads;
    if (allUseless && store_ == StoreState::Unknown && !reads) {
        onUnanswered(forAll(FirstTestMillisOfOthers, FirstTestMillisOfOne), now);
    }
    if (current_.kind_ == SourceKind::Nobody && now < waitsUntil_) {
        return current_;
    }
    const bool canRead = store_ != StoreState::Fails;
    const std::vector<InstanceId> readers = readers_.atWork(canRead, now);
    const bool isReader = std::find(readers.begin(), readers.end(), self_) != readers.end();
    if (isReader && !reads && isTrouble(now)) {
        readsUntil_ = now + KeptFor; // Whoever passed the same ones over asks this instance.
    }
    const bool readsOn = reads && now < readsUntil_;
    const bool nobodyElse = readers.empty() || (allUseless && store_ == StoreState::Answers);
    if (canRead && (isReader || readsOn || mustRead_ || nobodyElse)) {
        return ownReads;
    }
    if (readers.empty() || allUseless) {
        const bool waits = current_.kind_ == SourceKind::Nobody && now < keptUntil_;
        if (waits) {
            return current_;
        }
        keptUntil_ = now + HoldTime;
        return {SourceKind::Nobody, readers_.toWaitFor(waits_++)};
    }
    const bool asksOn = current_.kind_ == SourceKind::Peer && now < keptUntil_
                        && !readers_.isPassedOver(current_.peer_, now);
    if (asksOn) {
        return current_;
    }
    keptUntil_ = now + KeptFor;
    return {SourceKind::Peer, readers_.parent(canRead, now)};
}

bool NewsSource::takeTest(TimePoint now)
{
    const bool due = mustTest_ || (store_ == StoreState::Fails && now >= testAt_);
    if (!due || testing_ || readers_.allRead()) {
        return false;
    }
    testing_ = true;
    return true;
}

} // namespace almondridge::replication
