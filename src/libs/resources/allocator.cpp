#include "allocator.h"

#include <malloc.h>

namespace Resources {

auto configureAllocator() -> void
{
    // Setting a threshold also stops the library from raising it.
    constexpr int smallestMappedBytes = 64 << 10;
    constexpr int mostFreeBytesAtEnd = 1 << 20;
    mallopt(M_MMAP_THRESHOLD, smallestMappedBytes);
    mallopt(M_TRIM_THRESHOLD, mostFreeBytesAtEnd);
}

} // namespace Resources
