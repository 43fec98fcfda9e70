#include "simulator_adapter/wire_names.hpp"

#include <fmt/format.h>

#include <charconv>

namespace merlinbridge::simulator_adapter {
namespace {

constexpr std::size_t kRequestIdDigits = 16;
constexpr int kHexadecimal = 16;
constexpr char kQuotaUsageLetter = 'u';
constexpr char kInFlightTimeLetter = 'o';
/// The shortest counter name: a letter, a digit, the dot and a digit.
constexpr std::size_t kMinCounterNameLength = 4;

}  // namespace

std::optional<WireRequestId> parseRequestId(std::string_view text) {
  WireRequestId id;
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, id.value, kHexadecimal);
  if (text.size() != kRequestIdDigits || error != std::errc{} || end != textEnd) return std::nullopt;
  return id;
}

std::string counterName(const CounterKey& key) {
  const char letter = key.kind == CounterKey::Kind::quotaUsage ? kQuotaUsageLetter : kInFlightTimeLetter;
  return fmt::format("{}{}.{}", letter, key.customer.value, key.slot.value);
}

std::optional<CounterKey> parseCounterName(std::string_view name) {
  const auto dot = name.find('.');
  if (name.size() < kMinCounterNameLength || dot == 0 || dot >= name.size() - 1) return std::nullopt;
  CounterKey key;
  key.kind =
      name.front() == kQuotaUsageLetter ? CounterKey::Kind::quotaUsage : CounterKey::Kind::inFlightTime;
  std::from_chars(name.data() + 1, name.data() + dot, key.customer.value);
  std::from_chars(name.data() + dot + 1, name.data() + name.size(), key.slot.value);
  return key;
}

}  // namespace merlinbridge::simulator_adapter
