#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "emulator/scenario.hpp"

namespace merlinbridge::emulator {

/// A fault of the scenario while it is in effect.
struct ActiveFault {
  const Fault* fault = nullptr;  ///< Owned by the scenario.
  std::vector<char> affected;    ///< One flag per gateway or host that existed when the fault began.
  std::uint32_t zone = 0;        ///< The zone concerned, for faults of a zone.

  bool affects(std::uint32_t number) const { return number < affected.size() && affected[number] != 0; }
};

/// The faults that are in effect now. The parts of the run that a fault concerns query its effect here.
/// Faults are ordered by their number in the scenario, so that results do not depend on the order in which
/// they began.
class ActiveFaults {
 public:
  void add(std::size_t number, ActiveFault fault) { active_.emplace(number, std::move(fault)); }
  /// Ends a fault and returns it. The fault must be in effect.
  ActiveFault remove(std::size_t number) {
    ActiveFault ended = std::move(active_.at(number));
    active_.erase(number);
    return ended;
  }

  /// Whether a fault of that kind is in effect that satisfies the predicate.
  template <class Predicate>
  bool any(FaultKind kind, Predicate predicate) const {
    return std::any_of(active_.begin(), active_.end(), [&](const auto& entry) {
      return entry.second.fault->kind == kind && predicate(entry.second);
    });
  }
  bool any(FaultKind kind) const {
    return any(kind, [](const ActiveFault&) { return true; });
  }
  /// Whether a fault of that kind is in effect for that gateway or host.
  bool affects(FaultKind kind, std::uint32_t number) const {
    return any(kind, [number](const ActiveFault& fault) { return fault.affects(number); });
  }
  /// Product of the factors of all faults of that kind; 1 if there is none.
  double factor(FaultKind kind) const {
    double product = 1;
    for (const auto& [number, active] : active_)
      if (active.fault->kind == kind) product *= active.fault->factor;
    return product;
  }
  /// `value` times the factors of the faults of that kind that affect the gateway or host.
  double scaledFor(FaultKind kind, std::uint32_t affected, double value) const {
    for (const auto& [number, active] : active_)
      if (active.fault->kind == kind && active.affects(affected)) value *= active.fault->factor;
    return value;
  }
  /// `probability` that a message passes, times the probability that it passes all faults of that kind, whose
  /// factors are probabilities of loss.
  double survival(FaultKind kind, double probability) const {
    for (const auto& [number, active] : active_)
      if (active.fault->kind == kind) probability *= 1 - std::min(1.0, active.fault->factor);
    return probability;
  }

 private:
  std::map<std::size_t, ActiveFault> active_;
};

}  // namespace merlinbridge::emulator
