#pragma once

#include <chrono>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// Unix time, as every machine reads it (counts and cold starts go by it), but never set back.
class SystemClock final : public Clock {
 public:
  TimePoint now() const override { return TimePoint(began_ + (std::chrono::steady_clock::now() - steady_)); }

 private:
  std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
  Duration began_ = std::chrono::system_clock::now().time_since_epoch();
};

}  // namespace merlinbridge::net
