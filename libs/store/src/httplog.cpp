#include "almondridge/store/httpstore.h"

#include "storecall.h"

namespace almondridge::store {
namespace {

const std::string LogSource = "the log service";
constexpr int TrimmedStatus = 410;
/** Added to a read's own wait to get its timeout. */
constexpr std::int64_t ReadTimeoutMarginMillis = 1'500;

bool hasOffset(const Json &object, const char *name)
{
    return object.is_object() && object.contains(name) && object[name].is_number_unsigned();
}

Result<LogRecord> parseRecord(const Json &entry)
{
    if (!hasOffset(entry, "offset") || !entry.contains("body") || !entry["body"].is_string()) {
        return protocolError(LogSource, "a record without offset or body");
    }
    return LogRecord {entry["offset"].get<LogOffset>(), entry["body"].get<std::string>()};
}

/** Requires consecutive offsets, starting at from: a gap would make the readers' states differ. */
Result<LogPage> parsePage(const Json &body, LogOffset from)
{
    if (!hasOffset(body, "first") || !hasOffset(body, "next") || !body.contains("records")
        || !body["records"].is_array()) {
        return protocolError(LogSource, "a page without first, next or records");
    }
    LogPage page {body["first"].get<LogOffset>(), body["next"].get<LogOffset>(), {}};
    page.records_.reserve(body["records"].size());
    for (const Json &entry : body["records"]) {
        BOOST_LEAF_AUTO(record, parseRecord(entry));
        if (record.offset_ != from + page.records_.size()) {
            return protocolError(LogSource, "a page with a gap before offset "
                                                + std::to_string(record.offset_));
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
        if (!hasOffset(answer.body_, "first_offset")) {
            return protocolError(LogSource, "an append's answer without first_offset");
        }
        return answer.body_["first_offset"].get<LogOffset>();
    }

    Result<LogPage> read(LogOffset from, TimePoint waitUntil) override
    {
        const std::int64_t wait = millisUntil(waitUntil, BootClock::now());
        net::Request request;
        request.path_ =
            "/log/read?from=" + std::to_string(from) + "&wait_in_ms=" + std::to_string(wait);
        const TimePoint deadline = BootClock::now() + millis(wait + ReadTimeoutMarginMillis);
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
