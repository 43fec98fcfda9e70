#pragma once

#include <malloc.h>

#include <cstddef>

#if defined(__SANITIZE_ADDRESS__)
/// Of the address sanitizer's runtime, which Debian ships without its header.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();  // NOLINT(bugprone-reserved-identifier)
#endif

/// \file
/// The heap memory of the test's own process, for tests that bound what a component keeps.
namespace merlinbridge::testing {

/// Bytes that are allocated and not freed now. Freed memory that the allocator keeps is not counted.
inline std::size_t allocatedBytes() {
#if defined(__SANITIZE_ADDRESS__)
  return __sanitizer_get_current_allocated_bytes();
#else
  return mallinfo2().uordblks;
#endif
}

}  // namespace merlinbridge::testing
