/** Randomized test of replicas that exchange a store's history in any order, by seed. */
#include "almondridge/replication/topicreplica.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace almondridge;
using namespace almondridge::replication;

namespace {

constexpr int Keys = 6;
constexpr int Readers = 3;
constexpr int Followers = 4;
constexpr int Steps = 600;
constexpr int Seeds = 200;
constexpr TimePoint AnyTime {millis(1)};

/** The store's log of one topic. A value is the offset at which its key first got it. */
class History
{
public:
    void write(const std::string &key, const std::string &value)
    {
        records_.push_back({Topic::Endpoints, key, value, records_.size()});
    }
    void list(const std::string &key) { write(key, std::to_string(records_.size())); }
    /** Writes the current value again, as endpoints do with each heartbeat. */
    void repeat(const std::string &key) { write(key, valueAt(key, end())); }

    std::string valueAt(const std::string &key, LogOffset end) const
    {
        std::string value;
        for (LogOffset offset = 0; offset < end; ++offset) {
            value = records_[offset].key_ == key ? records_[offset].value_ : value;
        }
        return value;
    }
    LogOffset end() const { return records_.size(); }
    const Change &at(LogOffset offset) const { return records_[offset]; }

private:
    std::vector<Change> records_;
};

std::string keyNamed(int number)
{
    return "e" + std::to_string(number);
}

/** A replica, its visible values, and the latest record that was visible of each key. */
struct Instance
{
    TopicReplica replica_ {[this](const Change &change) { onChange(change); }};
    std::map<std::string, std::string> visible_;
    std::map<std::string, LogOffset> newest_;
    bool wentBack_ = false;
    LogOffset read_ = 0;                  ///< Of a reader: next offset to read.
    std::vector<Change> delayedRemovals_; ///< Of a reader: delayed removals.
    Instance *source_ = nullptr;
    Cursor cursor_; ///< Of a follower: its position in source_.

    void onChange(const Change &change)
    {
        visible_[change.key_] = change.value_;
        const LogOffset since = change.value_.empty() ? change.offset_ : std::stoull(change.value_);
        LogOffset &newest = newest_[change.key_];
        wentBack_ = wentBack_ || since < newest;
        newest = since;
    }

    void readUpTo(const History &history, LogOffset end, bool delaysRemovals)
    {
        for (; read_ < end; ++read_) {
            const Change &record = history.at(read_);
            if (delaysRemovals && record.value_.empty()) {
                delayedRemovals_.push_back(record);
            } else {
                Change change = record;
                change.isContiguous_ =
                    std::erase_if(delayedRemovals_,
                                  [&](const Change &one) { return one.key_ == record.key_; })
                    == 0;
                replica_.put(change);
            }
        }
        replica_.onRead(Topic::Endpoints, AnyTime,
                        delayedRemovals_.empty() ? read_ : delayedRemovals_.front().offset_);
    }

    /** Reads the newest record of each key instead of the history. */
    void readSnapshot(const History &history)
    {
        std::map<std::string, Change> newest;
        for (LogOffset offset = 0; offset < history.end(); ++offset) {
            newest[history.at(offset).key_] = history.at(offset);
        }
        std::vector<std::string> present;
        for (const auto &[key, record] : newest) {
            if (!record.value_.empty()) {
                replica_.put(record);
                present.push_back(key);
            }
        }
        replica_.retainOnly(Topic::Endpoints, present, history.end());
        read_ = history.end();
        replica_.onRead(Topic::Endpoints, AnyTime, read_);
    }

    void release()
    {
        for (const Change &removal : std::exchange(delayedRemovals_, {})) {
            replica_.put(removal);
        }
    }

    /** Applies one response of a source: changes, missing changes, or a part of a snapshot. */
    void poll(Instance &source, std::size_t maxChanges)
    {
        if (source_ != &source) {
            source_ = &source;
            cursor_ = {};
        }
        const auto missing = cursor_.historyStart_ == 0
                                 ? source.replica_.changesBeyond(replica_.ends(), maxChanges)
                                 : std::optional<ChangeSet>();
        const ChangeSet set = missing ? *missing : source.replica_.after(cursor_, maxChanges);
        for (const Change &change : set.changes_) {
            // A removal of a key that isn't visible still counts as known.
            if (change.value_.empty() && value(change.key_).empty()) {
                newest_[change.key_] = std::max(newest_[change.key_], change.offset_);
            }
        }
        replica_.apply(set);
        cursor_ = set.cursor();
    }

    void follow(Instance &source)
    {
        do {
            poll(source, 2);
        } while (!source.replica_.isAtEnd(cursor_));
    }

    std::string value(const std::string &key) const
    {
        const auto found = visible_.find(key);
        return found != visible_.end() ? found->second : "";
    }
};

class Deployment
{
public:
    Deployment(unsigned seed, bool delaysRemovals)
        : random_(seed)
        , delaysRemovals_(delaysRemovals)
    { }

    void step()
    {
        const std::string key = keyNamed(below(Keys));
        Instance &reader = readers_.at(below(Readers));
        Instance &follower = followers_.at(below(Followers));
        switch (below(10)) {
        case 0:
            history_.list(key);
            break;
        case 1:
            history_.write(key, "");
            break;
        case 2:
            history_.repeat(key);
            break;
        case 3:
        case 4:
            reader.readUpTo(history_, reader.read_ + below(history_.end() - reader.read_ + 1),
                            delaysRemovals_ && below(2) == 0);
            break;
        case 5:
            if (below(8) == 0) {
                reader.readSnapshot(history_);
            }
            break;
        case 6:
            reader.release();
            break;
        case 7:
            follower.follow(reader);
            break;
        case 8:
            follower.poll(below(2) == 0 ? reader : followers_.at(below(Followers)), 2);
            break;
        default:
            follower.follow(followers_.at(below(Followers)));
        }
    }

    /** Brings all instances up to date. */
    void finish()
    {
        for (Instance &reader : readers_) {
            reader.release();
            reader.readUpTo(history_, history_.end(), false);
        }
        for (Instance &follower : followers_) {
            for (Instance &reader : readers_) {
                follower.follow(reader);
            }
        }
    }

    template <typename Check>
    void forAll(Check check)
    {
        for (Instance &reader : readers_) {
            check(reader);
        }
        for (Instance &follower : followers_) {
            check(follower);
        }
    }

    const History &history() const { return history_; }

private:
    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

    std::mt19937 random_;
    bool delaysRemovals_;
    History history_;
    std::array<Instance, Readers> readers_ {};
    std::array<Instance, Followers> followers_ {};
};

/** Whether each visible value reflects all records below the end that the replica claims. */
bool matchesClaimedEnd(const Instance &instance, const History &history)
{
    const LogOffset end =
        instance.replica_.topics()[static_cast<std::size_t>(Topic::Endpoints)].end_;
    for (int number = 0; number < Keys; ++number) {
        const std::string key = keyNamed(number);
        const std::string known = history.valueAt(key, end);
        const std::string visible = instance.value(key);
        if (visible == known) {
            continue;
        }
        // A visible value may be newer than the end, but not older.
        const bool newer = !visible.empty() && std::stoull(visible) >= end;
        const auto removed = instance.newest_.find(key);
        const bool removedLater =
            visible.empty() && removed != instance.newest_.end() && removed->second >= end;
        if (!newer && !removedLater) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaConvergence)

// Guards against a removed endpoint that reappears, or an older configuration that replaces a newer
// one. Readers read at different speeds, delay removals, and start over; followers poll readers and
// each other in any order. The visible value of a key must never go back.
BOOST_AUTO_TEST_CASE(valuesNeverGoBackInAnyOrderOfUpdates)
{
    for (unsigned seed = 0; seed < Seeds; ++seed) {
        Deployment deployment(seed, true);
        for (int step = 0; step < Steps; ++step) {
            deployment.step();
        }
        deployment.finish();
        deployment.forAll([&](const Instance &instance) {
            BOOST_TEST(!instance.wentBack_, "went back, seed " << seed);
            for (int number = 0; number < Keys; ++number) {
                const std::string key = keyNamed(number);
                BOOST_TEST(instance.value(key)
                               == deployment.history().valueAt(key, deployment.history().end()),
                           "differs in the end, seed " << seed << ", " << key);
            }
        });
    }
}

// Guards against a replica that claims to know all records below an end, but lacks one of them: its
// followers would take an incomplete list for a current one. No removals are delayed here, so no
// record may be missing.
BOOST_AUTO_TEST_CASE(aReplicaKnowsAllRecordsBelowItsEnd)
{
    for (unsigned seed = 0; seed < Seeds; ++seed) {
        Deployment deployment(seed, false);
        bool complete = true;
        for (int step = 0; step < Steps && complete; ++step) {
            deployment.step();
            deployment.forAll([&](const Instance &instance) {
                complete = complete && matchesClaimedEnd(instance, deployment.history());
            });
        }
        BOOST_TEST(complete, "lacks a record before its end, seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
