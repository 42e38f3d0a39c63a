#include "boundedsink.h"

#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace almondridge {
namespace {

/** Some thousand lines, as a burst of failures logs during a short pause of the reader. */
constexpr std::size_t MaxBufferBytes = 262'144;
/** Batches lines to save system calls. */
constexpr std::size_t MinWriteBytes = 2'048;

} // namespace

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (buffer_.size() + line.size() > MaxBufferBytes) {
        ++dropped_;
        return;
    }
    buffer_.append(line.data(), line.size());
    if (buffer_.size() >= MinWriteBytes) {
        flush_();
    }
}

/** A pipe that polls writable takes PIPE_BUF bytes without blocking. */
bool BoundedSink::isWritable() const
{
    pollfd entry {descriptor_, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

void BoundedSink::flush_()
{
    if (dropped_ != droppedReported_ && buffer_.size() < MaxBufferBytes / 2) {
        buffer_ += fmt::format("event=log_dropped lines={}\n", dropped_ - droppedReported_);
        droppedReported_ = dropped_;
    }
    std::size_t written = 0;
    while (written < buffer_.size() && isWritable()) {
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
