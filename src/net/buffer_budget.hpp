#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "gateway_core/slot_table.hpp"

namespace merlinbridge::net {

/// Bounds the memory that the buffers of all connections take together. It counts allocated blocks, not the
/// bytes in them. Buffers report their blocks; a connection asks before its buffer grows beyond
/// kGuaranteedBytes, which every connection may have in any case. Used on the event loop's strand only.
class BufferBudget {
 public:
  /// Frees at least that many bytes if it can, without touching the connection that asks for them.
  using Reclaim = std::function<void(std::size_t bytes, core::SlotRef requester)>;

  /// Bytes that the buffer of each connection may have without asking: room for a usual request.
  static constexpr std::size_t kGuaranteedBytes = 4096;

  /// Sets the limit in bytes. Without a call there is none.
  void setLimit(std::size_t bytes) { limit_ = bytes; }
  /// Sets what frees memory when a request does not fit.
  void setReclaim(Reclaim reclaim) { reclaim_ = std::move(reclaim); }

  /// Returns true if a buffer may grow by that many bytes, perhaps after others have been freed.
  bool request(std::size_t bytes, core::SlotRef requester) {
    if (!fits(bytes) && reclaim_) reclaim_(bytes, requester);
    if (fits(bytes)) return true;
    ++refusals_;
    return false;
  }
  /// Bytes that may be taken for what no request needs, such as reading ahead: up to half of the limit.
  std::size_t spareBytes() const { return limit_ / 2 - std::min(limit_ / 2, used_); }

  /// A block of that size was allocated or freed.
  void allocated(std::size_t bytes) {
    used_ += bytes;
    peak_ = std::max(peak_, used_);
  }
  void freed(std::size_t bytes) { used_ -= bytes; }

  std::size_t usedBytes() const { return used_; }
  /// The most bytes that were used at once.
  std::size_t peakBytes() const { return peak_; }
  std::size_t limitBytes() const { return limit_; }
  /// How many requests were refused.
  std::uint64_t refusals() const { return refusals_; }

 private:
  bool fits(std::size_t bytes) const { return bytes <= limit_ && used_ <= limit_ - bytes; }

  std::size_t limit_ = SIZE_MAX;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  std::uint64_t refusals_ = 0;
  Reclaim reclaim_;
};

}  // namespace merlinbridge::net
