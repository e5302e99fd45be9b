#pragma once

#include <cstddef>
#include <malloc.h>

namespace jaylane::policy {

/// @return bytes that the heap has handed out, its own overhead included.
inline std::size_t AllocatedBytes()
{
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

} // namespace jaylane::policy
