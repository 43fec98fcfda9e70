#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace merlinbridge::core {

/// Refers to an element of a SlotTable by the number of its slot and the element's generation. If the element
/// has been dropped, the reference is not found, even if the slot has been reused. A default-constructed
/// reference refers to no element.
struct SlotRef {
  std::uint32_t slot = 0;
  std::uint32_t generation = 0;  ///< Counted from 1 for each slot; 0: no element.
  /// The reference as one number, usable as an id; 0 only if it refers to no element.
  std::uint64_t packed() const { return std::uint64_t{generation} << 32 | slot; }
  /// The reference from which packed() made the number.
  static SlotRef unpacked(std::uint64_t number) {
    return {static_cast<std::uint32_t>(number), static_cast<std::uint32_t>(number >> 32)};
  }
  explicit operator bool() const { return generation != 0; }
  bool operator==(const SlotRef&) const = default;
};

/// A table that owns its elements, each in a numbered slot. The address of an element does not change until
/// it is dropped, whatever other elements are added or dropped. Freed slots are reused, the last freed first.
/// The table keeps the memory for its largest size so far. Not thread-safe.
template <class T>
class SlotTable {
 public:
  /// Constructs an element from the arguments and returns a reference to it.
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
  /// Returns the element, which stays owned by the table, or nullptr if it has been dropped.
  T* find(SlotRef ref) {
    if (ref.slot >= slots_.size()) return nullptr;
    Slot& entry = slots_[ref.slot];
    return entry.element && entry.generation == ref.generation ? &*entry.element : nullptr;
  }
  /// Destroys the element and frees its slot. No effect if it has already been dropped.
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
    std::uint32_t generation = 0;  ///< Of the present element or, in a free slot, the previous one.
    std::optional<T> element;
  };
  std::deque<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
  std::size_t size_ = 0;
};

}  // namespace merlinbridge::core
