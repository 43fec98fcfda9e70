#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace merlinbridge {

/// One type for each kind of id, so that none is handed over in place of another.
template <class Kind, class Number = std::uint64_t>
struct Id {
  Number value{};
  auto operator<=>(const Id&) const = default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
};

using RequestId = Id<struct RequestKind>;
using CustomerId = Id<struct CustomerKind>;
using TimerId = Id<struct TimerKind>;
using SlotId = Id<struct SlotKind, std::int64_t>;
/// Dense: hosts are numbered from 0 in the order in which this gateway first heard of them.
using HostId = Id<struct HostKind, std::uint32_t>;
using ZoneId = Id<struct ZoneKind, std::uint32_t>;
using CellId = Id<struct CellKind, std::int64_t>;
using MachineId = Id<struct MachineKind, std::uint32_t>;
using MethodId = Id<struct MethodKind, std::uint32_t>;
using PlanId = Id<struct PlanKind, std::uint32_t>;
/// Attempts of one request count from 0.
using AttemptNumber = Id<struct AttemptKind, std::uint32_t>;

/// Names a count on the counter service: what is counted, for whom, in which slot of time.
struct CounterKey {
  enum class Kind : std::uint8_t { quotaUse, inFlightTime } kind = Kind::quotaUse;
  CustomerId customer;
  SlotId slot;
  auto operator<=>(const CounterKey&) const = default;  // NOLINT(modernize-use-nullptr): as above
};

}  // namespace merlinbridge
