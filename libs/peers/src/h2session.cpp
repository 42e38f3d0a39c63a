#include "h2session.h"

#include "h2fields.h"

#include <algorithm>
#include <array>
#include <nghttp2/nghttp2.h>
#include <unordered_map>
#include <utility>

namespace almondridge::peers {
namespace {

constexpr std::size_t MaxHeaderBytes = 4'096;
constexpr std::int32_t WindowBytes = 1 << 20;

std::string_view viewOf(const std::uint8_t *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

/** State of an open stream. */
struct Stream
{
    H2Message incoming_;
    std::size_t headerBytes_ = 0;
    std::string outgoing_;
    std::size_t outgoingOffset_ = 0;
};

} // namespace

struct H2Session::State
{
    H2Role role_ = H2Role::Client;
    std::size_t bodyLimit_ = 0;
    std::size_t incompleteBytes_ = 0; ///< Total of all incomplete incoming bodies.
    nghttp2_session *session_ = nullptr;
    std::unordered_map<std::int32_t, Stream> streams_;
    std::vector<H2Event> events_;

    State() = default;
    ~State() { nghttp2_session_del(session_); }
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    bool initialize();
    void submitSettings();
    void removeStream(std::int32_t stream, std::uint32_t errorCode);
    bool appendBody(std::int32_t stream, std::string_view bytes);
    void finishMessage(std::int32_t stream);

    static State &fromUserData(void *user) { return *static_cast<State *>(user); }
    static nghttp2_session_callbacks *makeCallbacks();
    static int onHeader(nghttp2_session *session, const nghttp2_frame *frame,
                        const std::uint8_t *name, std::size_t nameSize, const std::uint8_t *value,
                        std::size_t valueSize, std::uint8_t flags, void *user);
    static int onBeginHeaders(nghttp2_session *session, const nghttp2_frame *frame, void *user);
    static int onData(nghttp2_session *session, std::uint8_t flags, std::int32_t stream,
                      const std::uint8_t *bytes, std::size_t size, void *user);
    static int onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *user);
    static int onFrameNotSent(nghttp2_session *session, const nghttp2_frame *frame, int error,
                              void *user);
    static int onStreamClosed(nghttp2_session *session, std::int32_t stream,
                              std::uint32_t errorCode, void *user);
    static ssize_t readBody(nghttp2_session *session, std::int32_t stream, std::uint8_t *buffer,
                            std::size_t size, std::uint32_t *flags, nghttp2_data_source *source,
                            void *user);
    nghttp2_data_provider bodyProvider() noexcept;
};

nghttp2_session_callbacks *H2Session::State::makeCallbacks()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    if (nghttp2_session_callbacks_new(&callbacks) != 0) {
        return nullptr;
    }
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, onFrameNotSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    return callbacks;
}

bool H2Session::State::initialize()
{
    nghttp2_session_callbacks *const callbacks = makeCallbacks();
    nghttp2_option *option = nullptr;
    if (callbacks == nullptr || nghttp2_option_new(&option) != 0) {
        nghttp2_session_callbacks_del(callbacks);
        return false;
    }
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, MaxStreams);
    const int error = role_ == H2Role::Client
                          ? nghttp2_session_client_new2(&session_, callbacks, this, option)
                          : nghttp2_session_server_new2(&session_, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
    if (error == 0) {
        submitSettings();
    }
    return error == 0;
}

void H2Session::State::submitSettings()
{
    const std::array<nghttp2_settings_entry, 4> settings {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, MaxHeaderBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    // Only a client may send ENABLE_PUSH, which is the last one.
    const std::size_t count = role_ == H2Role::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, WindowBytes);
}

int H2Session::State::onBeginHeaders(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                                     void *user)
{
    State &state = fromUserData(user);
    if (state.role_ == H2Role::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        state.streams_[frame->hd.stream_id];
    }
    return 0;
}

int H2Session::State::onHeader(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                               const std::uint8_t *name, std::size_t nameSize,
                               const std::uint8_t *value, std::size_t valueSize,
                               std::uint8_t /*flags*/, void *user)
{
    State &state = fromUserData(user);
    const auto found = state.streams_.find(frame->hd.stream_id);
    if (found == state.streams_.end()) {
        return 0;
    }
    Stream &stream = found->second;
    stream.headerBytes_ += nameSize + valueSize;
    // Unlimited headers would exhaust memory before the message can be authenticated.
    if (stream.headerBytes_ > MaxHeaderBytes) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    setField(stream.incoming_, viewOf(name, nameSize), viewOf(value, valueSize));
    return 0;
}

bool H2Session::State::appendBody(std::int32_t stream, std::string_view bytes)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return true;
    }
    incompleteBytes_ += bytes.size();
    found->second.incoming_.body_ += bytes;
    return incompleteBytes_ <= bodyLimit_;
}

int H2Session::State::onData(nghttp2_session *session, std::uint8_t /*flags*/, std::int32_t stream,
                             const std::uint8_t *bytes, std::size_t size, void *user)
{
    State &state = fromUserData(user);
    if (!state.appendBody(stream, viewOf(bytes, size))) {
        state.events_.push_back({H2EventKind::TooLarge, stream});
        state.removeStream(stream, NGHTTP2_CANCEL);
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    }
    return 0;
}

void H2Session::State::finishMessage(std::int32_t stream)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return;
    }
    H2Message message = std::move(found->second.incoming_);
    found->second.incoming_ = {};
    incompleteBytes_ -= message.body_.size();
    events_.push_back({H2EventKind::Message, stream, std::move(message)});
}

int H2Session::State::onFrame(nghttp2_session * /*session*/, const nghttp2_frame *frame, void *user)
{
    const bool carriesMessage = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (carriesMessage && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        fromUserData(user).finishMessage(frame->hd.stream_id);
    }
    return 0;
}

int H2Session::State::onFrameNotSent(nghttp2_session * /*session*/, const nghttp2_frame *frame,
                                     int /*error*/, void *user)
{
    // The request was never sent; without this its stream would get no Closed event.
    if (frame->hd.type == NGHTTP2_HEADERS && fromUserData(user).role_ == H2Role::Client) {
        fromUserData(user).removeStream(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    }
    return 0;
}

int H2Session::State::onStreamClosed(nghttp2_session * /*session*/, std::int32_t stream,
                                     std::uint32_t errorCode, void *user)
{
    fromUserData(user).removeStream(stream, errorCode);
    return 0;
}

void H2Session::State::removeStream(std::int32_t stream, std::uint32_t errorCode)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end()) {
        return;
    }
    incompleteBytes_ -= found->second.incoming_.body_.size();
    streams_.erase(found);
    H2Event event {H2EventKind::Closed, stream};
    event.refused_ = errorCode == NGHTTP2_REFUSED_STREAM;
    events_.push_back(std::move(event));
}

ssize_t H2Session::State::readBody(nghttp2_session * /*session*/, std::int32_t stream,
                                   std::uint8_t *buffer, std::size_t size, std::uint32_t *flags,
                                   nghttp2_data_source * /*source*/, void *user)
{
    State &state = fromUserData(user);
    const auto found = state.streams_.find(stream);
    if (found == state.streams_.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Stream &openStream = found->second;
    const std::size_t count =
        std::min(size, openStream.outgoing_.size() - openStream.outgoingOffset_);
    openStream.outgoing_.copy(reinterpret_cast<char *>(buffer), count, openStream.outgoingOffset_);
    openStream.outgoingOffset_ += count;
    if (openStream.outgoingOffset_ == openStream.outgoing_.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

nghttp2_data_provider H2Session::State::bodyProvider() noexcept
{
    nghttp2_data_provider body {};
    body.read_callback = readBody;
    return body;
}

H2Session::H2Session(H2Role role, std::size_t bodyLimit)
    : state_(std::make_unique<State>())
{
    state_->role_ = role;
    state_->bodyLimit_ = bodyLimit;
    if (!state_->initialize()) {
        throw std::bad_alloc();
    }
}

H2Session::H2Session(H2Session &&) noexcept = default;
H2Session &H2Session::operator=(H2Session &&) noexcept = default;
H2Session::~H2Session() = default;

bool H2Session::receive(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    const ssize_t taken = nghttp2_session_mem_recv(state_->session_, data, bytes.size());
    return taken == static_cast<ssize_t>(bytes.size());
}

std::vector<H2Event> H2Session::takeEvents()
{
    return std::exchange(state_->events_, {});
}

bool H2Session::takeOutput(std::string &output, std::size_t limit)
{
    while (output.size() < limit) {
        const std::uint8_t *bytes = nullptr;
        const ssize_t size = nghttp2_session_mem_send(state_->session_, &bytes);
        if (size < 0) {
            return false;
        }
        if (size == 0) {
            return true;
        }
        output += viewOf(bytes, static_cast<std::size_t>(size));
    }
    return true;
}

std::int32_t H2Session::request(H2Message message)
{
    const std::vector<nghttp2_nv> pairs = requestFields(message);
    const nghttp2_data_provider body = state_->bodyProvider();
    const std::int32_t stream = nghttp2_submit_request(state_->session_, nullptr, pairs.data(),
                                                       pairs.size(), &body, nullptr);
    if (stream <= 0) {
        return 0;
    }
    state_->streams_[stream].outgoing_ = std::move(message.body_);
    return stream;
}

bool H2Session::answer(std::int32_t stream, H2Message message)
{
    const auto found = state_->streams_.find(stream);
    if (found == state_->streams_.end()) {
        return false;
    }
    const std::string status = std::to_string(message.status_);
    const std::vector<nghttp2_nv> pairs = answerFields(message, status);
    found->second.outgoing_ = std::move(message.body_);
    const nghttp2_data_provider body = state_->bodyProvider();
    return nghttp2_submit_response(state_->session_, stream, pairs.data(), pairs.size(), &body)
           == 0;
}

std::int32_t H2Session::nextStream() const noexcept
{
    return static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(state_->session_));
}

void H2Session::cancel(std::int32_t stream)
{
    if (state_->streams_.count(stream) != 0) {
        nghttp2_submit_rst_stream(state_->session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    }
}

void H2Session::finish()
{
    const std::int32_t last = nghttp2_session_get_last_proc_stream_id(state_->session_);
    nghttp2_submit_goaway(state_->session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
}

void H2Session::setBodyLimit(std::size_t bodyLimit) noexcept
{
    state_->bodyLimit_ = bodyLimit;
}

bool H2Session::done() const noexcept
{
    return nghttp2_session_want_read(state_->session_) == 0
           && nghttp2_session_want_write(state_->session_) == 0;
}

} // namespace almondridge::peers
