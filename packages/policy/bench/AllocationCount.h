#pragma once

#include <cstddef>
#include <malloc.h>

namespace jaylane::policy {

/// @return bytes allocated from the heap, including the allocator's overhead.
inline std::size_t AllocatedBytes()
{
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

} // namespace jaylane::policy
