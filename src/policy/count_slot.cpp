#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

/// Length of a time slot.
constexpr Duration kSlotLength = std::chrono::seconds(10);

/// Retention time of a count, in time slots.
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
