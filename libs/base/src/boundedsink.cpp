#include "boundedsink.h"

#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace almondridge {
namespace {

/** Some thousand lines: what a burst of failures writes while a reader pauses for a moment. */
constexpr std::size_t BufferBytes = 262'144;
/** Fewer and larger writes: each one costs a system call. */
constexpr std::size_t WriteFrom = 2'048;

} // namespace

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (buffer_.size() + line.size() > BufferBytes) {
        ++dropped_;
        return;
    }
    buffer_.append(line.data(), line.size());
    if (buffer_.size() >= WriteFrom) {
        flush_();
    }
}

/** A pipe that polls writable takes PIPE_BUF bytes without blocking. */
bool BoundedSink::takesMore() const
{
    pollfd entry {descriptor_, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

void BoundedSink::flush_()
{
    if (dropped_ != droppedTold_ && buffer_.size() < BufferBytes / 2) {
        buffer_ += fmt::format("event=log_dropped lines={}\n", dropped_ - droppedTold_);
        droppedTold_ = dropped_;
    }
    std::size_t written = 0;
    while (written < buffer_.size() && takesMore()) {
        const std::size_t count = std::min<std::size_t>(PIPE_BUF, buffer_.size() - written);
        const ssize_t taken = ::write(descriptor_, buffer_.data() + written, count);
        if (taken <= 0) {
            break;
        }
        written += static_cast<std::size_t>(taken);
    }
    buffer_.erase(0, written);
}

} // namespace almondridge
