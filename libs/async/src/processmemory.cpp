#include "almondridge/async/processmemory.h"

#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>

namespace almondridge::async {
namespace {

/**
 * Fixed, because the allocator raises its own threshold with each large block that is freed, and
 * then keeps the next ones.
 */
constexpr int MappedBlockBytes = 262'144;
/** Free bytes at the end of the heap that are kept. */
constexpr int KeptFreeBytes = 1'048'576;

} // namespace

void prepareAllocator()
{
    mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, KeptFreeBytes);
}

std::optional<std::size_t> residentBytes()
{
    // Pages: all of the address space, then those that are resident.
    std::ifstream file("/proc/self/statm");
    std::size_t mapped = 0;
    std::size_t resident = 0;
    if (!(file >> mapped >> resident)) {
        return std::nullopt;
    }
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void returnFreeMemory()
{
    malloc_trim(0);
}

} // namespace almondridge::async
