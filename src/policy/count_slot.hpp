#pragma once

#include "policy_api/ids.hpp"
#include "policy_api/time.hpp"

/// The slots of time in which the counter service adds up a customer's units. Pure functions of the time.
namespace merlinbridge::policy {

/// Length of a slot. The same at every gateway, since all name the same counts.
Duration slotLength();

/// How long the counter service keeps a count, and this gateway the state of a customer that sends nothing.
Duration countRetention();

/// The slot that contains that time.
SlotId slotAt(TimePoint now);

/// Seconds from the slot's beginning to now.
double secondsIntoSlot(TimePoint now, SlotId slot);

}  // namespace merlinbridge::policy
