#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace merlinbridge::core {

/// Refers to one element of a SlotTable: a numbered slot and the generation of the element in it. A reference
/// that outlives its element finds nothing, even if the slot has been used again. A default-constructed one
/// refers to no element.
struct SlotRef {
  std::uint32_t slot = 0;
  std::uint32_t generation = 0;  ///< Counts from 1; 0: no element.
  /// The reference as one number, for use as an id; 0 only if it refers to no element.
  std::uint64_t packed() const { return std::uint64_t{generation} << 32 | slot; }
  /// The reference that packed() made the number from.
  static SlotRef unpacked(std::uint64_t number) {
    return {static_cast<std::uint32_t>(number), static_cast<std::uint32_t>(number >> 32)};
  }
  explicit operator bool() const { return generation != 0; }
  bool operator==(const SlotRef&) const = default;
};

/// A table of elements in numbered slots; owns its elements. An element keeps its address until it is
/// dropped, while others come and go. Freed slots are used again, the last freed first; memory is kept for
/// the largest number of elements that there ever were. Not thread-safe.
template <class T>
class SlotTable {
 public:
  /// Constructs an element from the arguments and returns the reference to it.
  template <class... Args>
  SlotRef add(Args&&... args) {
    std::uint32_t slot = 0;
    if (freeSlots_.empty()) {
      slot = static_cast<std::uint32_t>(slots_.size());
      slots_.emplace_back();
    } else {
      slot = freeSlots_.back();
      freeSlots_.pop_back();
    }
    Slot& entry = slots_[slot];
    entry.element.emplace(std::forward<Args>(args)...);
    ++size_;
    return {slot, ++entry.generation};
  }
  /// Returns the element, which the table owns, or nullptr if it has been dropped.
  T* find(SlotRef ref) {
    if (ref.slot >= slots_.size()) return nullptr;
    Slot& entry = slots_[ref.slot];
    return entry.element && entry.generation == ref.generation ? &*entry.element : nullptr;
  }
  /// Destroys the element and frees its slot. Has no effect if it has been dropped already.
  void drop(SlotRef ref) {
    if (!find(ref)) return;
    slots_[ref.slot].element.reset();
    freeSlots_.push_back(ref.slot);
    --size_;
  }
  /// The number of elements.
  std::size_t size() const { return size_; }
  /// Calls `visitor(SlotRef, T&)` for each element, in the order of the slots. The visitor must not add or
  /// drop elements.
  template <class Visitor>
  void forEach(Visitor visitor) {
    for (std::uint32_t slot = 0; slot < slots_.size(); ++slot) {
      Slot& entry = slots_[slot];
      if (entry.element) visitor(SlotRef{slot, entry.generation}, *entry.element);
    }
  }

 private:
  struct Slot {
    std::uint32_t generation = 0;  ///< Of the element here, or of the last one.
    std::optional<T> element;
  };
  std::deque<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::size_t size_ = 0;
};

}  // namespace merlinbridge::core
