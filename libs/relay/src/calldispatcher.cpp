#include "calldispatcher.h"

#include "digest.h"

#include "almondridge/fleet/fleetfile.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::string_view ApiPrefix = "/v1/";
constexpr std::string_view StreamPrefix = "/v1/streams/";
constexpr std::string_view ModelScope = "models";
constexpr std::size_t MaxRequestIdBytes = 128;
/** Later deadlines are reduced to this one, so that they cannot overflow TimePoint. */
constexpr std::int64_t MaxDeadlineMillis = 7 * 86'400'000LL;
constexpr Duration DefaultRetryDelay = millis(1'000);

/** The caller's request id if it is safe in a header, else the generated one. */
std::string responseIdFor(std::string_view given, const RequestId &generated)
{
    const bool isAllowed = std::all_of(given.begin(), given.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_'
               || character == '.' || character == ':';
    });
    const bool usable = isAllowed && !given.empty() && given.size() <= MaxRequestIdBytes;
    return usable ? std::string(given) : generated.value();
}

Result<std::int64_t> parseNumber(std::string_view name, std::string_view text, std::int64_t maximum)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < 0
        || number > maximum) {
        return fail(ErrorKind::InvalidInput, std::string(name) + " is no number in its range",
                    "write a whole number from 0 to " + std::to_string(maximum));
    }
    return number;
}

} // namespace

const std::array<CallDispatcher::Route, 4> CallDispatcher::Routes {{
    {"/v1/completions", "POST", &CallDispatcher::serveCompletions},
    {"/v1/chat/completions", "POST", &CallDispatcher::serveChat},
    {"/v1/models", "GET", &CallDispatcher::serveModels},
    {StreamPrefix, "GET", &CallDispatcher::serveStream},
}};

CallDispatcher::CallDispatcher(RelayContext &context, net::ServerExchange &exchange)
    : context_(context)
    , exchange_(exchange)
    , view_(context.view())
    , id_(context.ids_.next())
    , responseId_(responseIdFor(exchange.header("X-Request-Id"), id_))
    , started_(BootClock::now())
{ }

bool CallDispatcher::handlesPath() const
{
    const std::string_view path = exchange_.path();
    return path.starts_with(ApiPrefix)
           || (view_ && fleet::findService(view_->fleet(), path) != nullptr);
}

void CallDispatcher::serve()
{
    if (!view_) {
        refuse(refusalFor(Refuse {Outcome::NotRun, RefusalCause::NoEndpoint,
                                  BootClock::now() + DefaultRetryDelay}));
        return;
    }
    const auto served = capture([this] { return dispatch(); });
    const Error *error = std::get_if<Error>(&served);
    if (error && !exchange_.answered()) {
        Refusal refusal = refusalFor(*error);
        if (error->kind_ == ErrorKind::NoMemory) {
            refusal.retryAt_ = BootClock::now() + DefaultRetryDelay;
        }
        refuse(refusal);
    }
}

void CallDispatcher::refuse(const Refusal &refusal)
{
    if (!bodyRead_ && exchange_.method() != "GET" && exchange_.method() != "HEAD") {
        // The unread rest of the body would be parsed as the caller's next request.
        exchange_.closeAfterAnswer();
    }
    const TimePoint now = BootClock::now();
    net::Headers headers = refusalHeaders(refusal, now);
    headers.push_back({"X-Request-Id", responseId_});
    exchange_.respond(refusal.status_, "application/json", errorBody(refusal, now), headers);
    const char *outcome = refusal.status_ < 500 ? "invalid" : "not-run";
    context_.metrics_.count("requests_total", "outcome=\"" + std::string(outcome) + "\"");
    context_.timeline_.add(observe::EventKind::Request, "request.refused", id_.value(),
                           "outcome=not-run why=" + refusal.code_);
}

void CallDispatcher::refuseMethod(std::string_view allowed)
{
    Refusal refusal;
    refusal.status_ = 405;
    refusal.code_ = "method_not_allowed";
    refusal.message_ = "this path does not take " + std::string(exchange_.method());
    refusal.remedy_ = "use " + std::string(allowed);
    refuse(refusal);
}

void CallDispatcher::refuseModel(const ModelId &model)
{
    Refusal refusal;
    refusal.status_ = 404;
    refusal.code_ = "model_not_found";
    refusal.message_ = "no model is called '" + model.value() + "'";
    refusal.remedy_ = "use one of GET /v1/models";
    refuse(refusal);
}

bool CallDispatcher::refuseExpired(const CallInfo &info)
{
    if (info.deadline_ > BootClock::now()) {
        return false;
    }
    Refusal refusal = refusalFor(Refuse {Outcome::NotRun, RefusalCause::DeadlinePassed, {}});
    refusal.retryAt_.reset();
    refuse(refusal);
    return true;
}

Result<void> CallDispatcher::dispatch()
{
    const std::string_view path = exchange_.path();
    if (!path.starts_with(ApiPrefix)) {
        return serveService(*fleet::findService(view_->fleet(), path));
    }
    for (const Route &route : Routes) {
        const bool found =
            route.path_.ends_with('/') ? path.starts_with(route.path_) : path == route.path_;
        if (found && exchange_.method() != route.method_) {
            refuseMethod(route.method_);
            return {};
        }
        if (found) {
            return (this->*route.handler_)();
        }
    }
    return fail(ErrorKind::NotFound, "there is no " + std::string(path),
                "see docs/PROTOCOLS.md for the paths");
}

// Common to all calls ---------------------------------------------------------------------------

Result<CallInfo> CallDispatcher::parseCallInfo()
{
    CallInfo info;
    info.id_ = id_;
    info.responseId_ = responseId_;
    info.started_ = started_;
    info.view_ = view_;
    BOOST_LEAF_ASSIGN(info.account_, view_->accountOf(exchange_.header("Authorization")));
    BOOST_LEAF_CHECK(parseDeadline(info));
    return info;
}

Result<void> CallDispatcher::parseDeadline(CallInfo &info) const
{
    info.deadline_ = started_ + millis(context_.settings_.requestDeadlineMillis_);
    const std::string_view text = exchange_.header("X-Request-Deadline-Ms");
    if (text.empty()) {
        return {};
    }
    BOOST_LEAF_AUTO(
        wall, parseNumber("X-Request-Deadline-Ms", text, std::numeric_limits<std::int64_t>::max()));
    const std::int64_t left = std::min(wall - wallMillis(), MaxDeadlineMillis);
    info.deadline_ = started_ + millis(std::max<std::int64_t>(left, 0));
    info.hasCallerDeadline_ = true;
    return {};
}

Result<std::optional<IdempotencyKey>> CallDispatcher::parseKey(const CallInfo &info,
                                                               std::string_view scope) const
{
    const KeyHeaders headers {exchange_.header("Idempotency-Key"), exchange_.header("X-Attempt")};
    return parseIdempotencyKey(headers, info.account_.id_, scope);
}

Result<std::string> CallDispatcher::readBody()
{
    const auto limit = static_cast<std::size_t>(context_.settings_.maxBodyBytes_);
    const TimePoint until = started_ + millis(context_.settings_.callerTimeoutMillis_);
    BOOST_LEAF_AUTO(body, exchange_.readBody(limit, until));
    bodyRead_ = true;
    return body;
}

// Models ----------------------------------------------------------------------------------------

Result<void> CallDispatcher::serveCompletions()
{
    return serveModel(Api::Completions);
}

Result<void> CallDispatcher::serveChat()
{
    return serveModel(Api::Chat);
}

Result<void> CallDispatcher::serveModel(Api api)
{
    BOOST_LEAF_AUTO(info, parseCallInfo());
    ModelTask task;
    BOOST_LEAF_ASSIGN(task.key_, parseKey(info, ModelScope));
    BOOST_LEAF_AUTO(body, readBody());
    BOOST_LEAF_ASSIGN(task.request_, parseModelRequest(api, body));
    const auto routed = view_->findModel(task.request_.model_.value());
    if (!routed) {
        refuseModel(task.request_.model_);
        return {};
    }
    task.routedModel_ = *routed;
    BOOST_LEAF_CHECK(parseResume(info, task));
    if (!refuseExpired(info)) {
        ModelCall(context_, exchange_, info, std::move(task)).serve();
    }
    return {};
}

Result<ResumeToken> CallDispatcher::verifyToken(const CallInfo &info, std::string_view text) const
{
    BOOST_LEAF_AUTO(token, parseResumeToken(text, context_.settings_.peerKey_));
    if (token.account_ != info.account_.id_) {
        return fail(ErrorKind::Unauthorized, "the resume token is of another account",
                    "send it with the key that the request was sent with");
    }
    return token;
}

Result<void> CallDispatcher::parseResume(const CallInfo &info, ModelTask &task) const
{
    const ModelRequest &request = task.request_;
    const std::string_view text = exchange_.header("X-Resume-Token");
    const std::string_view offset = exchange_.header("X-Resume-Offset");
    if (text.empty() != offset.empty() || (text.empty() && !request.resumeText_.empty())) {
        return fail(ErrorKind::InvalidInput, "a part of the resumption is missing",
                    "send X-Resume-Token, X-Resume-Offset and resume_text together");
    }
    if (text.empty()) {
        return {};
    }
    BOOST_LEAF_ASSIGN(task.resumeOffset_,
                      parseNumber("X-Resume-Offset", offset, request.maxTokens_));
    BOOST_LEAF_AUTO(token, verifyToken(info, text));
    const bool matches = token.api_ == request.api_ && token.model_ == request.model_
                         && token.requestHash_ == sha256Hex(request.promptText_);
    if (!matches || request.resumeText_.empty() != (task.resumeOffset_ == 0)) {
        return fail(ErrorKind::InvalidInput, "the resume token is of another request",
                    "send the same body as before, with the text so far in resume_text");
    }
    task.resumeAtEngine_ = task.resumeOffset_ >= token.location_.base_;
    task.resume_ = std::move(token);
    return {};
}

Result<void> CallDispatcher::serveStream()
{
    BOOST_LEAF_AUTO(info, parseCallInfo());
    BOOST_LEAF_AUTO(token, verifyToken(info, exchange_.path().substr(StreamPrefix.size())));
    const std::string offset = exchange_.queryValue("offset");
    ModelTask task;
    BOOST_LEAF_ASSIGN(task.resumeOffset_,
                      parseNumber("offset", offset.empty() ? "0" : offset, token.maxTokens_));
    if (task.resumeOffset_ < token.location_.base_) {
        refuse(refusalFor(Refuse {Outcome::Unknown, RefusalCause::StreamGone,
                                  BootClock::now() + DefaultRetryDelay}));
        return {};
    }
    task.request_.api_ = token.api_;
    task.request_.model_ = token.model_;
    task.request_.maxTokens_ = token.maxTokens_;
    task.request_.includeUsage_ = token.includeUsage_;
    task.request_.stream_ = true;
    task.routedModel_ = view_->findModel(token.model_.value()).value_or(token.model_);
    task.recovery_ = Recovery::ResumeOnly;
    task.resumeAtEngine_ = true;
    task.resume_ = std::move(token);
    if (!refuseExpired(info)) {
        ModelCall(context_, exchange_, info, std::move(task)).serve();
    }
    return {};
}

Result<void> CallDispatcher::serveModels()
{
    BOOST_LEAF_CHECK(parseCallInfo());
    json list = {{"object", "list"}, {"data", json::array()}};
    for (const std::string &name : view_->modelNames()) {
        list["data"].push_back({{"id", name},
                                {"object", "model"},
                                {"created", 0},
                                {"owned_by", view_->fleet().name_}});
    }
    exchange_.respond(200, "application/json", list.dump(), {{"X-Request-Id", responseId_}});
    return {};
}

// Services --------------------------------------------------------------------------------------

Result<void> CallDispatcher::serveService(const fleet::Service &service)
{
    BOOST_LEAF_AUTO(info, parseCallInfo());
    ServiceTask task;
    BOOST_LEAF_ASSIGN(task.key_, parseKey(info, "service/" + service.id_.value()));
    BOOST_LEAF_ASSIGN(task.body_, readBody());
    const std::string_view path = exchange_.path();
    std::string servicePath(path.substr(std::min(service.pathPrefix_.size(), path.size())));
    if (!servicePath.starts_with('/')) {
        servicePath.insert(0, "/");
    }
    task.service_ = service.id_;
    task.method_ = exchange_.method();
    const auto repeatability = fleet::repeatabilityOf(service, task.method_, servicePath);
    task.recovery_ =
        repeatability == fleet::Repeatability::Idempotent ? Recovery::Repeat : Recovery::Once;
    task.path_ = servicePath;
    if (!exchange_.query().empty()) {
        task.path_ += "?" + std::string(exchange_.query());
    }
    task.headers_ = exchange_.headers();
    if (!refuseExpired(info)) {
        ServiceCall(context_, exchange_, info, std::move(task)).serve();
    }
    return {};
}

} // namespace almondridge::relay
