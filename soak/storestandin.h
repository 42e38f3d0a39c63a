/**
 * A stand-in of the platform's store for soaks: keyed topics and logs in memory, one group, and
 * the faults that a store can have.
 */
#pragma once

#include "almondridge/async/httpserver.h"
#include "almondridge/base/ids.h"

#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace almondridge::soak {

enum class StoreFault { None, Silent, Busy, Reset, Slow, LosesAnswers };

inline constexpr std::array<EnumName<StoreFault>, 6> StoreFaultNames {{
    {StoreFault::None, "none"},
    {StoreFault::Silent, "silent"},
    {StoreFault::Busy, "busy"},
    {StoreFault::Reset, "reset"},
    {StoreFault::Slow, "slow"},
    {StoreFault::LosesAnswers, "loses-answers"},
}};

class StoreStandIn
{
public:
    explicit StoreStandIn(async::EventLoop &loop);

    net::Address address() const { return {"127.0.0.1", server_.port()}; }
    void setFault(StoreFault fault);
    /** Drops all records but the newest of each key. */
    void dropHistory();
    /**
     * Comes back from a copy of that age: what was written since is gone, offsets are assigned
     * again, and the era rises. The newest configuration and the removals of endpoints are written
     * again; endpoints that live do so with their next heartbeat. regrown: they wrote so much
     * meanwhile that the logs are longer than they were.
     */
    void restoreCopy(Duration age, bool regrown);
    /** Writes as the operator or an endpoint; an empty value removes the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /** Most keys in one page of the newest records. */
    void setKeysPerPage(std::size_t count) { keysPerPage_ = count; }
    /** Pages of the newest records that were served. */
    int pages() const noexcept { return pages_; }

private:
    struct Log
    {
        LogOffset first_ = 0;
        std::vector<std::string> records_;
    };
    using Newest = std::map<std::string, std::map<std::string, std::pair<std::string, LogOffset>>>;
    struct Copy
    {
        TimePoint madeAt_ {};
        std::map<std::string, Log> logs_;
        Newest newest_;
        std::uint64_t generation_ = 0;
    };
    struct Waiting
    {
        async::CallId id_;
        std::string topic_;
        LogOffset from_ = 0;
        TimePoint until_ {};
    };
    struct GroupMember
    {
        std::string name_;
        TimePoint until_ {};
    };

    void onCall(async::ServerCall call);
    void serve(const async::ServerCall &call);
    net::Response append(const std::string &topic, const std::string &body);
    net::Response newest(const std::string &topic, const std::string &after);
    net::Response join(const std::string &body);
    net::Response records(const Log &log, LogOffset from) const;
    void answerWaiting();
    void makeCopy();
    void respond(const async::CallId &id, net::Response response);

    async::EventLoop &loop_;
    async::HttpServer server_;
    StoreFault fault_ = StoreFault::None;
    std::uint64_t calls_ = 0;
    std::size_t keysPerPage_ = 10'000;
    int pages_ = 0;
    std::map<std::string, Log> logs_;
    Newest newest_;
    std::deque<Copy> copies_; ///< Oldest first.
    std::uint64_t era_ = 1;
    std::list<Waiting> waiting_;
    std::list<GroupMember> members_; ///< The first one holds the group's partition.
    std::uint64_t generation_ = 0;
    async::Timer tick_;
};

} // namespace almondridge::soak
