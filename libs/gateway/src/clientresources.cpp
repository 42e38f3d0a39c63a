#include "almondridge/gateway/clientresources.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** Descriptors for files, and the part of all that these take on a small machine. */
constexpr std::size_t FileDescriptors = 200;
constexpr std::size_t FileDescriptorsPart = 4;
/** A process before it serves clients: its program, and the state that it keeps. */
constexpr std::size_t LeastOwnBytes = 25'165'824;
/** Buffers grow by copies, and the allocator needs space between blocks. */
constexpr std::size_t UsableEighths = 7;
constexpr std::size_t Eighths = 8;
/** A machine too small for its process still serves small requests. */
constexpr std::size_t LeastClientBytes = 1'048'576;
/** The process's own memory beyond the least observed is mostly free blocks of a crowd. */
constexpr std::size_t SlackBytes = 4'194'304;
constexpr Duration GiveBackInterval = millis(1'000);
/** The interval doubles up to so many times while the memory is the process's own state. */
constexpr int MaxVainGiveBacks = 4;

} // namespace

std::size_t socketsOf(const MachineResources &machine)
{
    return machine.descriptors_
           - std::min(FileDescriptors, machine.descriptors_ / FileDescriptorsPart);
}

ClientMemory::ClientMemory(const MachineResources &machine, std::size_t receivedBytes)
    : machine_(machine)
    , receivedBytes_(receivedBytes)
    , ownBytes_(LeastOwnBytes)
{ }

std::size_t ClientMemory::limit() const
{
    const std::size_t taken = ownBytes_ + receivedBytes_;
    const std::size_t left = machine_.memoryBytes_ > taken ? machine_.memoryBytes_ - taken : 0;
    return std::max(LeastClientBytes, left / Eighths * UsableEighths);
}

bool ClientMemory::observe(std::size_t resident, std::size_t held, TimePoint now)
{
    const std::size_t own = resident > held ? resident - held : 0;
    leastOwnBytes_ = leastOwnBytes_ == 0 ? own : std::min(leastOwnBytes_, own);
    ownBytes_ = std::max(LeastOwnBytes, own);
    if (own <= leastOwnBytes_ + SlackBytes) {
        vainGiveBacks_ = 0;
        return false;
    }
    if (now < giveBackAfter_) {
        return false;
    }
    giveBackAfter_ = now + GiveBackInterval * (1 << vainGiveBacks_);
    vainGiveBacks_ = std::min(vainGiveBacks_ + 1, MaxVainGiveBacks);
    return true;
}

} // namespace almondridge::gateway
