#include "net/upstream/deadline_field.hpp"

#include <algorithm>
#include <chrono>

namespace merlinbridge::net {

long millisecondsLeft(Duration left) {
  return std::max<long>(std::chrono::ceil<std::chrono::milliseconds>(left).count(), 1);
}

std::string withDeadline(std::string_view message, Duration left) {
  std::string text(message);
  const std::size_t valueAt = text.find(kDeadlineLine) + kDeadlineLine.size();
  text.replace(valueAt, text.find('\r', valueAt) - valueAt, std::to_string(millisecondsLeft(left)));
  return text;
}

}  // namespace merlinbridge::net
