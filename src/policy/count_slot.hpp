#pragma once

#include "policy_api/ids.hpp"
#include "policy_api/time.hpp"

/// The time slots over which the counter service sums a customer's units. Pure functions of the time.
namespace merlinbridge::policy {

/// Length of a time slot. The same at all gateways, because they share the counts.
Duration slotLength();

/// How long the counter service keeps a count, and how long this gateway keeps the state of an idle customer.
Duration countRetention();

/// The time slot that contains `now`.
SlotId slotAt(TimePoint now);

/// Seconds from the start of the slot to `now`.
double secondsIntoSlot(TimePoint now, SlotId slot);

}  // namespace merlinbridge::policy
