#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

namespace merlinbridge::net {

/// A connection's bytes: grows as it needs, is compacted in place, and gives its memory back when empty.
class Buffer {
 public:
  char* data() { return bytes_.get() + from_; }
  std::size_t size() const { return to_ - from_; }
  bool empty() const { return from_ == to_; }
  std::string_view view() const { return {bytes_.get() + from_, size()}; }

  /// Room for n more bytes at the end, which may move those that are there.
  char* room(std::size_t n) {
    if (capacity_ - to_ >= n) return bytes_.get() + to_;
    const std::size_t held = size();
    if (capacity_ - held >= n && from_ >= held) {
      std::memmove(bytes_.get(), bytes_.get() + from_, held);
    } else {
      capacity_ = std::max({held + n, capacity_ / 2 * 3, kInitialCapacity});
      auto grown = std::make_unique_for_overwrite<char[]>(capacity_);
      if (held > 0) std::memcpy(grown.get(), bytes_.get() + from_, held);
      bytes_ = std::move(grown);
    }
    from_ = 0, to_ = held;
    return bytes_.get() + to_;
  }
  std::size_t spare() const { return capacity_ - to_; }
  void filled(std::size_t n) { to_ += n; }
  void add(std::string_view text) {
    if (text.empty()) return;
    std::memcpy(room(text.size()), text.data(), text.size());
    to_ += text.size();
  }
  void drop(std::size_t n) {
    from_ += n;
    if (from_ == to_) from_ = to_ = 0;
    if (to_ == 0 && capacity_ > kRetainedCapacity) bytes_.reset(), capacity_ = 0;
  }
  /// Takes out what lies between two places, both counted from the start.
  void cut(std::size_t from, std::size_t to) {
    if (from == to) return;
    std::memmove(data() + from, data() + to, size() - to);
    to_ -= to - from;
  }

 private:
  static constexpr std::size_t kInitialCapacity = 2048, kRetainedCapacity = 8192;
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_ = 0, from_ = 0, to_ = 0;
};

}  // namespace merlinbridge::net
