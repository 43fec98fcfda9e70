#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

/// The source design's value.
constexpr Duration kSlotLength = std::chrono::seconds(10);

/// Retention of a count, in slots.
constexpr double kRetentionSlots = 3.0;

}  // namespace

Duration slotLength() {
  return kSlotLength;
}

Duration countRetention() {
  return scaled(kSlotLength, kRetentionSlots);
}

SlotId slotAt(TimePoint now) {
  return {now.time_since_epoch() / kSlotLength};
}

double secondsIntoSlot(TimePoint now, SlotId slot) {
  const Duration slotStart = slot.value * kSlotLength;
  return seconds(now.time_since_epoch() - slotStart);
}

}  // namespace merlinbridge::policy
