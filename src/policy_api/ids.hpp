#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

/// Identifiers that the decision engine and its host exchange.
namespace merlinbridge {

/// An identifier. Each kind is a type of its own, so that the compiler rejects one handed over in place of
/// another. `Kind` is a tag that is never defined.
template <class Kind, class Number = std::uint64_t>
struct Id {
  Number value{};
  auto operator<=>(const Id&) const = default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
};

/// A request that the gateway received. Chosen by the caller of the engine; not reused while the request is
/// in flight.
using RequestId = Id<struct RequestKind>;

/// A customer, as requests name it.
using CustomerId = Id<struct CustomerKind>;

/// A timer that the engine set with DecisionSink::setTimer; never used twice. The first is 1.
using TimerId = Id<struct TimerKind>;

/// A slot of time in which the counter service adds up units, numbered from the clock's origin.
using SlotId = Id<struct SlotKind, std::int64_t>;

/// An upstream host. Dense: the caller of the engine numbers hosts from 0 in the order in which discovery
/// first announced them, so that figures by host are arrays.
using HostId = Id<struct HostKind, std::uint32_t>;

/// The availability zone of an upstream host.
using ZoneId = Id<struct ZoneKind, std::uint32_t>;

/// The cell of an upstream host: a group of hosts in one zone. Negative: discovery named none.
using CellId = Id<struct CellKind, std::int64_t>;

/// The machine that an upstream host runs on.
using MachineId = Id<struct MachineKind, std::uint32_t>;

/// A method: the index of its Method in PolicySettings::methods.
using MethodId = Id<struct MethodKind, std::uint32_t>;

/// A customer's plan: the index of its Plan in PolicySettings::plans.
using PlanId = Id<struct PlanKind, std::uint32_t>;

/// An attempt of one request, counted from 0 in the order in which the engine started them.
using AttemptNumber = Id<struct AttemptKind, std::uint32_t>;

/// Names a count on the counter service: what is counted, for which customer, in which slot of time. All
/// gateways use the same keys, so that the service adds up what they admit.
struct CounterKey {
  /// What a count adds up.
  enum class Kind : std::uint8_t {
    quotaUse,     ///< Units of the quota; for a plan with only a concurrency limit, seconds in flight.
    inFlightTime  ///< Seconds in flight, under a key of their own. Known to the wire; the engine does not use
                  ///< it.
  };

  Kind kind = Kind::quotaUsage;
  CustomerId customer;
  SlotId slot;
  auto operator<=>(const CounterKey&) const =
      default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
};

}  // namespace merlinbridge
