/** Boards that tell each other a store's history in any order, by chance and by a seed. */
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

/** The store's log of one topic. A value names the offset at which its key first had it. */
class History
{
public:
    void write(const std::string &key, const std::string &value)
    {
        records_.push_back({Topic::Endpoints, key, value, records_.size()});
    }
    void list(const std::string &key) { write(key, std::to_string(records_.size())); }
    /** The same value again, as endpoints write it with each heartbeat. */
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

/** A board, the values that it shows, and the latest record that it showed of each key. */
struct Instance
{
    TopicReplica board_ {[this](const Change &change) { onChange(change); }};
    std::map<std::string, std::string> shown_;
    std::map<std::string, LogOffset> newest_;
    bool wentBack_ = false;
    LogOffset read_ = 0;       ///< Of a reader: where it goes on.
    std::vector<Change> held_; ///< Of a reader: removals that it holds back.
    Instance *source_ = nullptr;
    Cursor cursor_; ///< Of a follower, in what its source tells.

    void onChange(const Change &change)
    {
        shown_[change.key_] = change.value_;
        const LogOffset since = change.value_.empty() ? change.offset_ : std::stoull(change.value_);
        LogOffset &newest = newest_[change.key_];
        wentBack_ = wentBack_ || since < newest;
        newest = since;
    }

    void readUpTo(const History &history, LogOffset end, bool holds)
    {
        for (; read_ < end; ++read_) {
            const Change &record = history.at(read_);
            if (holds && record.value_.empty()) {
                held_.push_back(record);
            } else {
                Change change = record;
                change.isContiguous_ =
                    std::erase_if(held_, [&](const Change &one) { return one.key_ == record.key_; })
                    == 0;
                board_.put(change);
            }
        }
        board_.onRead(Topic::Endpoints, AnyTime, held_.empty() ? read_ : held_.front().offset_);
    }

    /** The newest record of each key, in place of the history. */
    void readSnapshot(const History &history)
    {
        std::map<std::string, Change> newest;
        for (LogOffset offset = 0; offset < history.end(); ++offset) {
            newest[history.at(offset).key_] = history.at(offset);
        }
        std::vector<std::string> present;
        for (const auto &[key, record] : newest) {
            if (!record.value_.empty()) {
                board_.put(record);
                present.push_back(key);
            }
        }
        board_.retainOnly(Topic::Endpoints, present, history.end());
        read_ = history.end();
        board_.onRead(Topic::Endpoints, AnyTime, read_);
    }

    void release()
    {
        for (const Change &removal : std::exchange(held_, {})) {
            board_.put(removal);
        }
    }

    /** One answer of a source: further changes, what is missing, or a part of everything. */
    void ask(Instance &source, std::size_t most)
    {
        if (source_ != &source) {
            source_ = &source;
            cursor_ = {};
        }
        const auto missing = cursor_.historyStart_ == 0 ? source.board_.changesBeyond(board_.ends(), most)
                                                  : std::optional<ChangeSet>();
        const ChangeSet set = missing ? *missing : source.board_.after(cursor_, most);
        for (const Change &change : set.changes_) {
            // A removal of what is not shown is known all the same.
            if (change.value_.empty() && value(change.key_).empty()) {
                newest_[change.key_] = std::max(newest_[change.key_], change.offset_);
            }
        }
        board_.apply(set);
        cursor_ = set.cursor();
    }

    void follow(Instance &source)
    {
        do {
            ask(source, 2);
        } while (!source.board_.isAtEnd(cursor_));
    }

    std::string value(const std::string &key) const
    {
        const auto found = shown_.find(key);
        return found != shown_.end() ? found->second : "";
    }
};

class Deployment
{
public:
    Deployment(unsigned seed, bool holds)
        : random_(seed)
        , holds_(holds)
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
                            holds_ && below(2) == 0);
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
            follower.ask(below(2) == 0 ? reader : followers_.at(below(Followers)), 2);
            break;
        default:
            follower.follow(followers_.at(below(Followers)));
        }
    }

    /** Everybody is told everything. */
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
    bool holds_;
    History history_;
    std::array<Instance, Readers> readers_ {};
    std::array<Instance, Followers> followers_ {};
};

/** Whether what is shown of a key is as new as all records that the board says it knows. */
bool knowsWhatItClaims(const Instance &instance, const History &history)
{
    const LogOffset end = instance.board_.topics()[static_cast<std::size_t>(Topic::Endpoints)].end_;
    for (int number = 0; number < Keys; ++number) {
        const std::string key = keyNamed(number);
        const std::string known = history.valueAt(key, end);
        const std::string shown = instance.value(key);
        if (shown == known) {
            continue;
        }
        // Something newer than the end may be shown, but nothing older.
        const bool newer = !shown.empty() && std::stoull(shown) >= end;
        const auto gone = instance.newest_.find(key);
        const bool removedLater =
            shown.empty() && gone != instance.newest_.end() && gone->second >= end;
        if (!newer && !removedLater) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BoardOrders)

// An endpoint that an instance knew to be gone is listed again, or an older configuration is back.
// Readers read at their own pace, hold removals back, and start over; followers ask any of them,
// and each other, in any order. Whoever is told, what it shows of a key never goes back.
BOOST_AUTO_TEST_CASE(whoeverTellsNothingGoesBack)
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

// An instance says that it knows all records before an end, and lacks one of them: whoever asks it
// is told a list with holes as new. Without removals that are held back nothing may be missing.
BOOST_AUTO_TEST_CASE(aBoardKnowsAllThatItsEndSays)
{
    for (unsigned seed = 0; seed < Seeds; ++seed) {
        Deployment deployment(seed, false);
        bool complete = true;
        for (int step = 0; step < Steps && complete; ++step) {
            deployment.step();
            deployment.forAll([&](const Instance &instance) {
                complete = complete && knowsWhatItClaims(instance, deployment.history());
            });
        }
        BOOST_TEST(complete, "lacks a record before its end, seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
