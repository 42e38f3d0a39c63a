#include "servicecall.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace almondridge::relay {
namespace {

/**
 * Responses up to this size are buffered until complete, so that an idempotent call whose endpoint
 * fails midway can be retried on another one without the caller noticing.
 */
constexpr std::size_t MaxBufferedBytes = 262'144;

constexpr std::array<std::string_view, 11> HopByHopHeaders {
    "connection", "keep-alive",       "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",          "transfer-encoding",  "upgrade",
    "host",       "proxy-connection", "content-length"};

std::string lowered(std::string_view text)
{
    std::string low(text);
    std::transform(low.begin(), low.end(), low.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return low;
}

/** Whether a comma-separated list of header names contains name (lower case). */
bool containsToken(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_first_of(" \t"));
        if (lowered(item) == name) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

RequestSpec requestSpecFor(const CallInfo &info, const ServiceTask &task)
{
    RequestSpec spec;
    spec.request_ = info.id_;
    spec.recovery_ = task.recovery_;
    spec.deadline_ = info.deadline_;
    return spec;
}

} // namespace

net::Headers endToEndHeaders(const net::Headers &headers,
                             std::initializer_list<std::string_view> excluded)
{
    const std::string_view connection = net::headerValue(headers, "Connection");
    net::Headers kept;
    for (const net::Header &header : headers) {
        const std::string name = lowered(header.name_);
        const bool hopByHop = std::find(HopByHopHeaders.begin(), HopByHopHeaders.end(), name)
                              != HopByHopHeaders.end();
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), name) != excluded.end();
        if (!hopByHop && !isExcluded && !containsToken(connection, name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

ServiceCall::ServiceCall(RelayContext &context, net::ServerExchange &caller, const CallInfo &info,
                         ServiceTask task)
    : CallDriver(context, caller, info, requestSpecFor(info, task))
    , task_(std::move(task))
    , keyedCall_(context.claims_, task_.key_, info_.id_)
{ }

void ServiceCall::serve()
{
    if (const std::optional<DuplicateResponse> duplicate = keyedCall_.begin(info_.deadline_)) {
        respondToDuplicate(*duplicate);
        return;
    }
    recordEvent("request.accepted",
                "service=" + task_.service_.value() + " method=" + task_.method_
                    + " recovery=" + std::string(nameOf(RecoveryNames, task_.recovery_)));
    context_.admission_.onFirstAttempt();
    pushAdmitted();
    run();
}

void ServiceCall::respondToDuplicate(const DuplicateResponse &duplicate)
{
    recordOutcome(CallOutcome::Duplicate,
                  "verdict=" + std::string(nameOf(KeyDecisionNames, duplicate.keyDecision_)));
    if (duplicate.refusal_) {
        respondRefusal(*duplicate.refusal_);
        return;
    }
    net::Headers headers = responseHeaders();
    headers.push_back({"Idempotent-Replayed", "true"});
    if (!duplicate.stored_.hasBody_) {
        headers.push_back({"X-Stored-Body", "omitted"});
    }
    caller_.respond(duplicate.status_, duplicate.stored_.contentType_, duplicate.stored_.body_,
                    headers);
}

routing::RouteQuery ServiceCall::query()
{
    routing::RouteQuery query;
    query.service_ = task_.service_;
    query.deadline_ = info_.deadline_;
    return query;
}

net::Request ServiceCall::requestFor(const SendRequest &action)
{
    net::Request request;
    request.method_ = task_.method_;
    request.path_ = task_.path_;
    request.headers_ = endToEndHeaders(task_.headers_, {"x-request-id", "expect"});
    request.headers_.push_back({"X-Request-Id", action.attempt_.value()});
    request.body_ = task_.body_;
    return request;
}

void ServiceCall::onHead(const net::ResponseHead &head)
{
    const bool notRun = head.status_ == 503 && net::headerValue(head.headers_, "X-Not-Run") == "1";
    head_ = head;
    body_.clear();
    push(HeadReceived {connection_, notRun ? HeadKind::NotRun : HeadKind::Accepted,
                       retryAfterOf(head)});
}

void ServiceCall::forwardResponse()
{
    // Events must reach the caller as they arrive, so event streams are not buffered.
    if (contentType().starts_with("text/event-stream")) {
        startForwarding();
    }
}

void ServiceCall::startForwarding()
{
    forwarding_ = true;
    feed(ResponseForwarded {connection_});
    // Only an early close of the connection shows the caller that a response is incomplete.
    caller_.closeAfterAnswer();
    const bool written = caller_.beginStream(head_.status_, contentType(), callerHeaders())
                         && (body_.empty() || caller_.writeChunk(body_));
    body_.clear();
    if (!written) {
        onCallerLost();
    }
}

void ServiceCall::onBytes(std::string_view bytes)
{
    if (forwarding_) {
        if (!caller_.writeChunk(bytes)) {
            onCallerLost();
        }
        return;
    }
    body_ += bytes;
    if (body_.size() > MaxBufferedBytes) {
        startForwarding();
    }
}

void ServiceCall::onEnd()
{
    push(ResponseEnded {connection_});
}

void ServiceCall::finish()
{
    bool written = false;
    if (forwarding_) {
        written = caller_.endStream();
    } else {
        written = caller_.respond(head_.status_, contentType(), body_, callerHeaders());
    }
    keyedCall_.end(head_.status_,
                   {contentType(), forwarding_ ? std::string() : body_, !forwarding_});
    recordOutcome(written ? CallOutcome::Completed : CallOutcome::Abandoned,
                  "status=" + std::to_string(head_.status_));
}

void ServiceCall::refuse(const Refusal &given)
{
    Refusal refusal = given;
    const bool unknown = refusal.outcome_ == Outcome::Unknown;
    if (unknown && task_.recovery_ == Recovery::Once && !task_.key_) {
        // Clients retry automatically after Retry-After, which could execute the call twice.
        refusal.retryAt_.reset();
        refusal.remedy_ = "find out whether it took effect; next time send an Idempotency-Key, "
                          "with which a repeat is safe";
    }
    if (!forwarding_) {
        respondRefusal(refusal);
    }
    const bool notRun = refusal.outcome_ == Outcome::NotRun;
    keyedCall_.end(notRun ? StoredNotRun : StoredUnknown, {});
    recordOutcome(notRun ? CallOutcome::NotRun : CallOutcome::Unknown, "why=" + refusal.code_);
}

void ServiceCall::abandon()
{
    keyedCall_.end(machine_.mayHaveRun() ? StoredUnknown : StoredNotRun, {});
    recordOutcome(CallOutcome::Abandoned, "why=caller-gone");
}

net::Headers ServiceCall::callerHeaders() const
{
    net::Headers headers =
        endToEndHeaders(head_.headers_, {"content-type", "x-request-id", "x-not-run"});
    headers.push_back({"X-Request-Id", info_.responseId_});
    return headers;
}

std::string ServiceCall::contentType() const
{
    const std::string_view given = net::headerValue(head_.headers_, "Content-Type");
    return given.empty() ? "application/octet-stream" : std::string(given);
}

} // namespace almondridge::relay
