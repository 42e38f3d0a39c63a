/**
 * How much of a machine's memory and descriptors clients may take. No I/O.
 */
#pragma once

#include "almondridge/base/time.h"

#include <cstddef>
#include <optional>

namespace almondridge::gateway {

/** What the platform gives the process. */
struct MachineResources
{
    std::size_t memoryBytes_ = 0;
    std::size_t descriptors_ = 0;
};

/** Sockets of the process; the other descriptors are for its files. */
std::size_t socketsOf(const MachineResources &machine);

/** Follows the process's own memory, which clients don't cause, and what is left of the machine. */
class ClientMemory
{
public:
    /** receivedBytes: the most that the kernel receives for clients before it is read. */
    ClientMemory(const MachineResources &machine, std::size_t receivedBytes);

    /** Bytes that may be held on behalf of clients. */
    std::size_t limit() const;
    /**
     * resident: of the process, held: of that on behalf of clients, in bytes. Returns whether free
     * memory should be given back to the system.
     */
    bool observe(std::size_t resident, std::size_t held, TimePoint now);

private:
    MachineResources machine_;
    std::size_t receivedBytes_;
    std::size_t ownBytes_;
    std::size_t leastOwnBytes_ = 0; ///< The lowest that was observed.
    TimePoint giveBackAfter_ {};
    int vainGiveBacks_ = 0; ///< In a row, after which the memory was as large as before.
};

} // namespace almondridge::gateway
