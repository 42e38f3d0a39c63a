/** Randomized test of replicas of a store that is restored from older copies, by seed. */
#include "almondridge/replication/topicreplica.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>

using namespace almondridge;
using namespace almondridge::replication;

namespace {

constexpr int Keys = 5;
constexpr int Readers = 3;
constexpr int Followers = 4;
constexpr int Steps = 500;
constexpr int Seeds = 300;
constexpr TimePoint AnyTime {millis(1)};
/** Offsets of a later era are above all of the eras before it. */
constexpr LogOffset EraSize = 1'000'000;

/** What its writer last wrote of a key; a value is empty after the key was removed. */
struct Written
{
    std::string value_;
    std::uint64_t revision_ = 0;
};

/** The store's log of one topic, and the writers of its keys. */
class Store
{
public:
    void write(const std::string &key, bool removes)
    {
        Written &written = writers_[key];
        ++written.revision_;
        written.value_ = removes ? "" : std::to_string(written.revision_);
        append(key);
    }

    /** The log is cut back, and its offsets are assigned again. */
    void restore(std::size_t length)
    {
        records_.resize(std::min(length, records_.size()));
        ++era_;
    }

    /** Each writer whose newest record was lost writes it again with its next heartbeat. */
    void writeLostAgain()
    {
        const auto newest = this->newest();
        for (auto &[key, written] : writers_) {
            const auto found = newest.find(key);
            const std::string stored = found != newest.end() ? found->second.value_ : "";
            if (stored != written.value_) {
                ++written.revision_;
                append(key);
            }
        }
    }

    std::map<std::string, Change> newest() const
    {
        std::map<std::string, Change> newest;
        for (const Change &record : records_) {
            newest[record.key_] = record;
        }
        return newest;
    }

    LogOffset start() const { return era_ * EraSize; }
    LogOffset end() const { return start() + records_.size(); }
    Change at(LogOffset offset) const
    {
        Change record = records_.at(offset - start());
        record.offset_ = offset;
        return record;
    }
    const std::map<std::string, Written> &writers() const { return writers_; }

private:
    void append(const std::string &key)
    {
        const Written &written = writers_[key];
        Change record {Topic::Endpoints, key, written.value_, 0};
        if (!written.value_.empty()) {
            record.revision_ = {0, written.revision_};
        }
        records_.push_back(record);
    }

    std::uint64_t era_ = 1;
    std::vector<Change> records_;
    std::map<std::string, Written> writers_;
};

struct Instance
{
    TopicReplica replica_ {[this](const Change &change) { onChange(change); }};
    std::map<std::string, std::uint64_t> newest_; ///< Highest value that was visible of a key.
    std::map<std::string, std::string> visible_;
    bool wentBack_ = false;
    LogOffset read_ = 0; ///< Of a reader: next offset to read.
    Instance *source_ = nullptr;
    Cursor cursor_;

    void onChange(const Change &change)
    {
        visible_[change.key_] = change.value_;
        const std::uint64_t value = change.value_.empty() ? 0 : std::stoull(change.value_);
        wentBack_ = wentBack_ || (value > 0 && value < newest_[change.key_]);
        newest_[change.key_] = std::max(newest_[change.key_], value);
    }

    /** Reads the records that follow, or the newest ones if the store was restored. */
    void read(const Store &store, LogOffset end)
    {
        if (read_ < store.start() || read_ == 0) {
            readNewest(store);
            return;
        }
        for (; read_ < end; ++read_) {
            Change record = store.at(read_);
            record.isContiguous_ = true;
            replica_.put(record);
        }
        replica_.onRead(Topic::Endpoints, AnyTime, read_);
    }

    void readNewest(const Store &store)
    {
        std::vector<std::string> present;
        for (const auto &[key, record] : store.newest()) {
            if (!record.value_.empty()) {
                Change change = record;
                change.offset_ = store.end() - 1;
                replica_.put(change);
                present.push_back(key);
            }
        }
        replica_.retainOnly(Topic::Endpoints, present, store.end());
        read_ = store.end();
        replica_.onRead(Topic::Endpoints, AnyTime, read_);
    }

    void follow(Instance &source)
    {
        if (source_ != &source) {
            source_ = &source;
            cursor_ = {};
        }
        do {
            const auto missing = cursor_.historyStart_ == 0
                                     ? source.replica_.changesBeyond(replica_.ends(), 2)
                                     : std::optional<ChangeSet>();
            const ChangeSet set = missing ? *missing : source.replica_.after(cursor_, 2);
            replica_.apply(set);
            cursor_ = set.cursor();
        } while (!source.replica_.isAtEnd(cursor_));
    }
};

class Deployment
{
public:
    explicit Deployment(unsigned seed)
        : random_(seed)
    {
        for (int number = 0; number < Followers; ++number) {
            followers_.push_back(std::make_unique<Instance>());
        }
    }

    void step()
    {
        Instance &reader = readers_.at(below(Readers));
        Instance &follower = *followers_.at(below(Followers));
        switch (below(12)) {
        case 0:
        case 1:
        case 2:
            store_.write("e" + std::to_string(below(Keys)), below(4) == 0);
            break;
        case 3:
            if (below(5) == 0) {
                store_.restore(below(store_.end() - store_.start() + 1));
            }
            break;
        case 4:
            store_.writeLostAgain();
            break;
        case 5:
        case 6:
        case 7:
            reader.read(store_,
                        reader.read_
                            + below(store_.end() - std::min(store_.end(), reader.read_) + 1));
            break;
        case 8:
        case 9:
            follower.follow(reader);
            break;
        case 10:
            restart(below(Followers));
            break;
        default:
            follower.follow(*followers_.at(below(Followers)));
        }
    }

    void finish()
    {
        store_.writeLostAgain();
        for (Instance &reader : readers_) {
            reader.read(store_, store_.end());
        }
        for (const auto &follower : followers_) {
            for (Instance &reader : readers_) {
                follower->follow(reader);
            }
        }
    }

    template <typename Check>
    void forAll(Check check)
    {
        std::for_each(readers_.begin(), readers_.end(), check);
        for (const auto &follower : followers_) {
            check(*follower);
        }
    }

    const Store &store() const { return store_; }

private:
    /** A new process, which knows nothing. */
    void restart(std::size_t number)
    {
        for (const auto &follower : followers_) {
            if (follower->source_ == followers_[number].get()) {
                follower->source_ = nullptr;
            }
        }
        followers_[number] = std::make_unique<Instance>();
    }

    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

    std::mt19937 random_;
    Store store_;
    std::array<Instance, Readers> readers_ {};
    std::vector<std::unique_ptr<Instance>> followers_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RestoredStores)

// Guards against values that go back at an instance, or never reach one, after the store was
// restored from older copies: instances that know the newer records, instances that read the copy,
// and followers that change from one to the other.
BOOST_AUTO_TEST_CASE(valuesNeverGoBackAndReachAllAcrossRestores)
{
    for (unsigned seed = 0; seed < Seeds; ++seed) {
        Deployment deployment(seed);
        for (int step = 0; step < Steps; ++step) {
            deployment.step();
        }
        deployment.finish();
        deployment.forAll([&](const Instance &instance) {
            BOOST_TEST(!instance.wentBack_, "went back, seed " << seed);
            for (const auto &[key, written] : deployment.store().writers()) {
                BOOST_TEST(instance.replica_.value(Topic::Endpoints, key) == written.value_,
                           "differs in the end, seed " << seed << ", " << key);
            }
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()
