/**
 * A spdlog sink that never blocks: lines wait in a bounded buffer until the descriptor takes
 * them, and are counted and dropped when the buffer is full.
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
    bool takesMore() const;

    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedTold_ = 0;
};

} // namespace almondridge
