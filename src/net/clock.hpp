#pragma once

#include <chrono>

#include "moment.hpp"

namespace merlinbridge::net {

// Unix time, as every machine reads it (counts and cold starts go by it), but never set back.
class Clock {
 public:
  Time now() const { return Time(began_ + (std::chrono::steady_clock::now() - steady_)); }

 private:
  std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
  Span began_ = std::chrono::system_clock::now().time_since_epoch();
};

}  // namespace merlinbridge::net
