#include "storestandin.h"

#include "later.h"
#include "storewire.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace almondridge::soak {
namespace {

using Json = nlohmann::json;
using namespace almondridge::storewire;

constexpr Duration TickInterval = millis(20);
constexpr Duration SlowAnswer = millis(240);
/** Every so many answers one is lost, while the store loses answers. */
constexpr std::uint64_t LostEvery = 3;
constexpr std::size_t LengthBytes = 4;
constexpr Duration CopyInterval = millis(250);
constexpr std::size_t CopiesKept = 24;

bool isKeyed(const std::string &topic)
{
    return topic.starts_with("keyed.");
}

} // namespace

StoreStandIn::StoreStandIn(async::EventLoop &loop)
    : loop_(loop)
    , server_(loop, {[this](async::ServerCall call) { onCall(std::move(call)); },
                     [this](const async::CallId &id) {
                         waiting_.remove_if([&](const Waiting &one) { return one.id_ == id; });
                     },
                     {}})
    , tick_(loop)
{
    server_.listen({"127.0.0.1", 0}).value();
    answerWaiting();
}

void StoreStandIn::respond(const async::CallId &id, net::Response response)
{
    response.headers_.push_back({"Store-Era", std::to_string(era_)});
    server_.respond(id, response);
}

void StoreStandIn::makeCopy()
{
    copies_.push_back({BootClock::now(), logs_, newest_, generation_});
    if (copies_.size() > CopiesKept) {
        copies_.pop_front();
    }
}

void StoreStandIn::restoreCopy(Duration age, bool regrown)
{
    makeCopy();
    const TimePoint madeBefore = BootClock::now() - age;
    auto copy = copies_.begin();
    while (std::next(copy) != copies_.end() && std::next(copy)->madeAt_ <= madeBefore) {
        ++copy;
    }
    std::map<std::string, LogOffset> endsBefore;
    for (const auto &[topic, log] : logs_) {
        endsBefore[topic] = log.first_ + log.records_.size();
    }
    const Newest before = newest_;
    logs_ = copy->logs_;
    newest_ = copy->newest_;
    generation_ = copy->generation_;
    members_.clear();
    copies_.clear();
    ++era_;
    for (const char *topic : {"keyed.op", "keyed.servers"}) {
        const auto written = before.find(topic);
        for (const auto &[key, entry] :
             written != before.end() ? written->second : Newest::mapped_type {}) {
            const bool isLost = newest_[topic][key].first != entry.first;
            if (isLost && (entry.first.empty() || std::string_view(topic) == "keyed.op")) {
                put(topic, key, entry.first);
            }
        }
        while (regrown && logs_[topic].first_ + logs_[topic].records_.size() <= endsBefore[topic]) {
            put(topic, "filler", std::to_string(era_));
        }
    }
}

void StoreStandIn::setFault(StoreFault fault)
{
    fault_ = fault;
    if (fault == StoreFault::Silent || fault == StoreFault::Reset) {
        for (const Waiting &one : std::exchange(waiting_, {})) {
            if (fault == StoreFault::Reset) {
                server_.abort(one.id_);
            }
        }
    }
}

void StoreStandIn::onCall(async::ServerCall call)
{
    ++calls_;
    switch (fault_) {
    case StoreFault::Silent:
        return;
    case StoreFault::Busy:
        respond(call.id_, {503, {}, ""});
        return;
    case StoreFault::Reset:
        server_.abort(call.id_);
        return;
    case StoreFault::Slow:
        later(
            loop_, SlowAnswer,
            [this, kept = std::make_shared<async::ServerCall>(std::move(call))] { serve(*kept); });
        return;
    case StoreFault::LosesAnswers:
        if (calls_ % LostEvery == 0) {
            // Done, and the answer is lost with its connection.
            if (call.head_.method_ == "POST") {
                append(queryParameter(call.head_.target_, "topic"), call.body_);
            }
            return;
        }
        break;
    case StoreFault::None:
        break;
    }
    serve(call);
}

void StoreStandIn::serve(const async::ServerCall &call)
{
    const std::string &target = call.head_.target_;
    const std::string topic = queryParameter(target, "topic");
    if (!storewire::isStoreTarget(target)) {
        respond(call.id_, {400, {}, "{}"});
    } else if (target.starts_with("/almondridge/log-append")) {
        respond(call.id_, append(topic, call.body_));
    } else if (target.starts_with("/almondridge/log-newest")) {
        respond(call.id_, newest(topic, queryParameter(target, "after")));
    } else if (target.starts_with("/almondridge/log-join")) {
        respond(call.id_, join(call.body_));
    } else if (target.starts_with("/almondridge/log-read")) {
        const LogOffset from = numberOf(queryParameter(target, "from"));
        const Log &log = logs_[topic];
        if (from != log.first_ + log.records_.size()) {
            respond(call.id_, records(log, from));
            return;
        }
        const auto wait = static_cast<std::int64_t>(numberOf(queryParameter(target, "wait-ms")));
        waiting_.push_back({call.id_, topic, from, BootClock::now() + millis(wait)});
    } else {
        respond(call.id_, {200, {}, "{}"});
    }
}

void StoreStandIn::answerWaiting()
{
    const TimePoint now = BootClock::now();
    tick_.startAt(now + TickInterval, [this] { answerWaiting(); });
    if (copies_.empty() || copies_.back().madeAt_ + CopyInterval <= now) {
        makeCopy();
    }
    for (auto one = waiting_.begin(); one != waiting_.end();) {
        const Log &log = logs_[one->topic_];
        const bool due = one->until_ <= now || one->from_ != log.first_ + log.records_.size();
        if (due) {
            respond(one->id_, records(log, one->from_));
        }
        one = due ? waiting_.erase(one) : std::next(one);
    }
}

net::Response StoreStandIn::records(const Log &log, LogOffset from) const
{
    if (from < log.first_) {
        return {410, {}, Json {{"first", log.first_}}.dump()};
    }
    const LogOffset end = log.first_ + log.records_.size();
    if (from > end) {
        return {410, {}, Json {{"first", log.first_}}.dump()};
    }
    std::string body = readHeader(end, log.first_);
    for (LogOffset offset = from; offset < end; ++offset) {
        body += framedRecord(log.records_[offset - log.first_]);
    }
    return {200, {}, body};
}

net::Response StoreStandIn::append(const std::string &topic, const std::string &body)
{
    if (topic.empty() || body.size() < LengthBytes) {
        return {400, {}, "{}"};
    }
    Log &log = logs_[topic];
    const LogOffset offset = log.first_ + log.records_.size();
    const std::string record = body.substr(LengthBytes);
    log.records_.push_back(record);
    if (isKeyed(topic)) {
        const auto keyLength = static_cast<unsigned char>(record.at(0));
        newest_[topic][record.substr(1, keyLength)] = {record.substr(1 + keyLength), offset};
    }
    return {200, {}, Json {{"offset", offset}, {"end", offset + 1}}.dump()};
}

void StoreStandIn::put(const std::string &topic, const std::string &key, const std::string &value)
{
    append(topic, framedRecord(keyedRecord(key, value)));
}

void StoreStandIn::dropHistory()
{
    for (auto &[topic, log] : logs_) {
        log.first_ += log.records_.size();
        log.records_.clear();
    }
}

net::Response StoreStandIn::newest(const std::string &topic, const std::string &after)
{
    ++pages_;
    std::string items;
    std::size_t count = 0;
    bool more = false;
    for (const auto &[key, entry] : newest_[topic]) {
        if (entry.first.empty() || (key <= after && !after.empty())) {
            continue;
        }
        more = count >= keysPerPage_;
        if (!more) {
            items += fmt::format(R"({}{{"key":{},"value":"{}","offset":{}}})", count > 0 ? "," : "",
                                 storewire::jsonString(key), base64(entry.first), entry.second);
            ++count;
        }
    }
    const Log &log = logs_[topic];
    return {200,
            {},
            fmt::format(R"({{"items":[{}],"more":{},"end":{}}})", items, more,
                        log.first_ + log.records_.size())};
}

net::Response StoreStandIn::join(const std::string &body)
{
    const Json json = Json::parse(body);
    const std::string name = json.at("member");
    const TimePoint now = BootClock::now();
    const std::size_t before = members_.size();
    members_.remove_if([&](const GroupMember &one) { return one.until_ <= now; });
    auto member = std::find_if(members_.begin(), members_.end(),
                               [&](const GroupMember &one) { return one.name_ == name; });
    if (member == members_.end()) {
        member = members_.insert(members_.end(), {name, {}});
        ++generation_;
    }
    generation_ += before != members_.size() ? 1 : 0;
    member->until_ = now + millis(json.at("ttl-ms").get<std::int64_t>());
    Json parts = Json::array();
    if (member == members_.begin()) {
        parts.push_back({json.at("topics").at(0), 0, 0});
    }
    return {200, {}, Json {{"generation", generation_}, {"parts", parts}}.dump()};
}

} // namespace almondridge::soak
