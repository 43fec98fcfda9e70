#pragma once

#include <optional>
#include <string>

#include "log.hpp"
#include "moment.hpp"

namespace merlinbridge::edge {

// What the operators settle themselves, beside what the platform tells. Every key may be missing.
struct Own {
  Log::Form form = Log::Form::text;
  Level level = Level::info;
  Span stillComing = std::chrono::milliseconds(700);  // after SIGTERM: for so long all that comes is answered
  Span mostLife = std::chrono::milliseconds(3700);    // and after so long the process may be killed
  int looks = 5;                                      // at a file of orders that cannot be read
};

// The whole of it is checked before anything is used. Throws tables::BadText.
Own readOwn(const std::string& text, const std::string& file);

}  // namespace merlinbridge::edge
