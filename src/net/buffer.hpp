#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

#include "net/buffer_budget.hpp"

namespace merlinbridge::net {

/// A growable FIFO byte buffer in one contiguous block: bytes are appended at the end and consumed from the
/// front. It compacts before it grows, grows by at least half, and frees a large block as soon as it is
/// empty. Its block is at most twice as large as the bytes that it has had to hold at once, and their owner
/// bounds those. Every non-const function invalidates views of and pointers into the buffer.
class Buffer {
 public:
  /// A buffer whose block is not counted.
  Buffer() = default;
  /// A buffer whose block counts towards the budget, which must outlive it.
  explicit Buffer(BufferBudget& budget) : budget_(&budget) {}
  Buffer(const Buffer&) = delete;
  Buffer& operator=(const Buffer&) = delete;
  ~Buffer() { setCapacity(0); }

  char* data() { return block_.get() + begin_; }
  std::size_t size() const { return end_ - begin_; }
  bool empty() const { return begin_ == end_; }
  std::string_view view() const { return {block_.get() + begin_, size()}; }

  /// Ensures free space for at least `bytes` more and returns a pointer to it. The caller writes there and
  /// then calls commit().
  char* reserve(std::size_t bytes) {
    if (capacity_ - end_ >= bytes) return block_.get() + end_;
    const std::size_t newCapacity = capacityFor(bytes);
    if (newCapacity == capacity_)
      compact();
    else
      moveTo(newCapacity);
    return block_.get() + end_;
  }
  /// The size that the block will have after reserve(bytes).
  std::size_t capacityFor(std::size_t bytes) const {
    if (capacity_ - end_ >= bytes) return capacity_;
    const std::size_t needed = size() + bytes;
    // A quarter of the block has been consumed since the last move, which bounds the cost of moving the rest.
    const bool compacts = needed <= capacity_ && begin_ >= capacity_ / 4;
    if (compacts && needed > capacity_ / 8) return capacity_;
    return std::max({needed, compacts ? 0 : capacity_ / 2 * 3, kInitialCapacity});
  }
  /// The size of the block, in bytes.
  std::size_t capacity() const { return capacity_; }
  /// Bytes that can be appended without another reserve().
  std::size_t freeBytes() const { return capacity_ - end_; }
  /// Appends the `bytes` written at the pointer that reserve() returned; at most freeBytes().
  void commit(std::size_t bytes) { end_ += bytes; }
  /// Appends a copy of `text`, which must not point into the buffer.
  void append(std::string_view text) {
    if (text.empty()) return;
    std::memcpy(reserve(text.size()), text.data(), text.size());
    end_ += text.size();
  }
  /// Removes the first `bytes`; at most size().
  void consume(std::size_t bytes) {
    begin_ += bytes;
    if (begin_ == end_) {
      begin_ = 0;
      end_ = 0;
    }
    if (end_ == 0 && capacity_ > kRetainedCapacity) {
      block_.reset();
      setCapacity(0);
    }
  }
  /// Removes the bytes in [from, to), as offsets from the front.
  void erase(std::size_t from, std::size_t to) {
    if (from == to) return;
    std::memmove(data() + from, data() + to, size() - to);
    end_ -= to - from;
  }

 private:
  void compact() {
    const std::size_t used = size();
    std::memmove(block_.get(), block_.get() + begin_, used);
    begin_ = 0;
    end_ = used;
  }
  void moveTo(std::size_t capacity) {
    const std::size_t used = size();
    auto newBlock = std::make_unique_for_overwrite<char[]>(capacity);
    if (used > 0) std::memcpy(newBlock.get(), block_.get() + begin_, used);
    block_ = std::move(newBlock);
    setCapacity(capacity);
    begin_ = 0;
    end_ = used;
  }
  void setCapacity(std::size_t capacity) {
    if (budget_) budget_->allocated(capacity);
    if (budget_) budget_->freed(capacity_);
    capacity_ = capacity;
  }

  static constexpr std::size_t kInitialCapacity = 2048;   // bytes
  static constexpr std::size_t kRetainedCapacity = 4096;  // bytes; an empty buffer keeps no larger block
  BufferBudget* budget_ = nullptr;
  std::unique_ptr<char[]> block_;
  std::size_t capacity_ = 0;  ///< Size of the block.
  std::size_t begin_ = 0;     ///< Offset in the block of the first byte.
  std::size_t end_ = 0;       ///< Offset in the block just past the last byte.
};

}  // namespace merlinbridge::net
