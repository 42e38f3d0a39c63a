/**
 * A spdlog sink that never blocks: lines are buffered until the descriptor is writable, and are
 * dropped and counted when the bounded buffer is full.
 */
#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace almondridge {

class BoundedSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit BoundedSink(int descriptor)
        : descriptor_(descriptor)
    { }

    std::uint64_t dropped() const noexcept { return dropped_; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    bool isWritable() const;

    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedReported_ = 0; ///< Part of dropped_ that a log line has reported.
};

} // namespace almondridge
