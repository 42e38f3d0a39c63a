#include "almondridge/store/httpstore.h"

#include "storecall.h"

namespace almondridge::store {
namespace {

const std::string LogSource = "the log service";
constexpr int TrimmedStatus = 410;
/** How much longer than its own wait a read may take before its connection counts as silent. */
constexpr std::int64_t ReadSlackMillis = 1'500;

bool isOffset(const Json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_number_unsigned();
}

Result<LogRecord> parseRecord(const Json &entry)
{
    if (!isOffset(entry, "offset") || !entry.contains("body") || !entry["body"].is_string()) {
        return wrongAnswer(LogSource, "a record without offset or body");
    }
    return LogRecord {entry["offset"].get<LogOffset>(), entry["body"].get<std::string>()};
}

/** Records must lie in a row from the offset asked for: a gap would make readers differ. */
Result<LogPage> parsePage(const Json &body, LogOffset from)
{
    if (!isOffset(body, "first") || !isOffset(body, "next") || !body.contains("records")
        || !body["records"].is_array()) {
        return wrongAnswer(LogSource, "a page without first, next or records");
    }
    LogPage page {body["first"].get<LogOffset>(), body["next"].get<LogOffset>(), {}};
    page.records_.reserve(body["records"].size());
    for (const Json &entry : body["records"]) {
        BOOST_LEAF_AUTO(record, parseRecord(entry));
        if (record.offset_ != from + page.records_.size()) {
            return wrongAnswer(LogSource,
                               "a page with a gap before offset " + std::to_string(record.offset_));
        }
        page.records_.push_back(std::move(record));
    }
    return page;
}

class HttpLogService : public LogService
{
public:
    explicit HttpLogService(net::Address address)
        : address_(std::move(address))
    { }

    Result<LogOffset> append(const std::vector<std::string> &bodies, TimePoint deadline) override
    {
        net::Request request {"POST", "/log/append", {{"Content-Type", "application/json"}}, {}};
        const Json body {{"records", bodies}};
        request.body_ = body.dump(-1, ' ', false, Json::error_handler_t::replace);
        BOOST_LEAF_AUTO(answer, storeCall(address_, request, deadline));
        if (answer.status_ != 200) {
            return failedStatus(LogSource, answer);
        }
        if (!isOffset(answer.body_, "first_offset")) {
            return wrongAnswer(LogSource, "an append's answer without first_offset");
        }
        return answer.body_["first_offset"].get<LogOffset>();
    }

    Result<LogPage> read(LogOffset from, TimePoint waitUntil) override
    {
        const std::int64_t wait = millisUntil(waitUntil, BootClock::now());
        net::Request request;
        request.path_ =
            "/log/read?from=" + std::to_string(from) + "&wait_in_ms=" + std::to_string(wait);
        const TimePoint deadline = BootClock::now() + millis(wait + ReadSlackMillis);
        BOOST_LEAF_AUTO(answer, storeCall(address_, request, deadline));
        if (answer.status_ == TrimmedStatus) {
            return fail(ErrorKind::Trimmed,
                        "the log no longer keeps offset " + std::to_string(from),
                        "start from a snapshot in what is left, or from a peer");
        }
        if (answer.status_ != 200) {
            return failedStatus(LogSource, answer);
        }
        return parsePage(answer.body_, from);
    }

private:
    const net::Address address_;
};

} // namespace

std::unique_ptr<LogService> makeHttpLogService(net::Address address)
{
    return std::make_unique<HttpLogService>(std::move(address));
}

} // namespace almondridge::store
