/**
 * The memory of this process as the operating system counts it, and how it is given back.
 */
#pragma once

#include <cstddef>
#include <optional>

namespace almondridge::async {

/** Makes the allocator give back large blocks as soon as they are free. To be called once. */
void prepareAllocator();
/** Resident memory in bytes; nullopt if the system doesn't tell. */
std::optional<std::size_t> residentBytes();
/** Gives free pages between blocks in use back to the system. */
void returnFreeMemory();

} // namespace almondridge::async
