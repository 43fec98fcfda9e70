#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

/// Identifiers that the decision engine and its caller exchange.
namespace merlinbridge {

/// An identifier. Each kind is a separate type, so that the compiler rejects one kind where another is
/// expected. `Kind` is a tag type that is never defined.
template <class Kind, class Number = std::uint64_t>
struct Id {
  Number value{};
  auto operator<=>(const Id&) const = default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
};

/// A request that the gateway received. Chosen by the caller of the engine; not reused while the request is
/// in flight.
using RequestId = Id<struct RequestKind>;

/// A customer, by the number that requests carry.
using CustomerId = Id<struct CustomerKind>;

/// A timer that the engine set with DecisionSink::setTimer. Never reused; the first is 1.
using TimerId = Id<struct TimerKind>;

/// A time slot: an interval over which the counter service sums units. Slots are numbered from the clock's
/// origin.
using SlotId = Id<struct SlotKind, std::int64_t>;

/// An upstream host. The caller of the engine numbers hosts from 0, without gaps, in the order in which
/// discovery first announced them, so that the engine can keep data about hosts in arrays.
using HostId = Id<struct HostKind, std::uint32_t>;

/// The availability zone of an upstream host.
using ZoneId = Id<struct ZoneKind, std::uint32_t>;

/// The cell of an upstream host: a group of hosts in one zone. Negative: discovery announced no cell.
using CellId = Id<struct CellKind, std::int64_t>;

/// The machine on which an upstream host runs.
using MachineId = Id<struct MachineKind, std::uint32_t>;

/// A method: the index of its Method in PolicySettings::methods.
using MethodId = Id<struct MethodKind, std::uint32_t>;

/// A customer's plan: the index of its Plan in PolicySettings::plans.
using PlanId = Id<struct PlanKind, std::uint32_t>;

/// An attempt of a request, numbered from 0 in the order in which the engine started them.
using AttemptNumber = Id<struct AttemptKind, std::uint32_t>;

/// Identifies a count at the counter service: what is counted, for which customer and in which time slot. All
/// gateways use the same keys, so that the service sums the units of all gateways.
struct CounterKey {
  /// What a count sums.
  enum class Kind : std::uint8_t {
    quotaUsage,   ///< Quota units; for a plan with only a concurrency limit, seconds in flight.
    inFlightTime  ///< Seconds in flight, counted separately. Part of the protocol, but not used by the
                  ///< engine.
  };

  Kind kind = Kind::quotaUsage;
  CustomerId customer;
  SlotId slot;
  auto operator<=>(const CounterKey&) const =
      default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
};

}  // namespace merlinbridge
