#pragma once

#include <ostream>
#include <sstream>
#include <string_view>

namespace merlinbridge {

enum class Level { debug, info, warning, error };

// Lines for staff, of a level and above.
class Log {
 public:
  Log(std::ostream& out, Level least) : out_(out), least_(least) {}

  template <class... Parts>
  void operator()(Level level, const Parts&... parts) {
    if (level < least_) return;
    static constexpr std::string_view kWords[] = {"debug", "info", "warning", "error"};
    std::ostringstream line;
    line << kWords[static_cast<int>(level)] << ": ";
    (line << ... << parts) << '\n';
    out_ << line.str() << std::flush;
  }

 private:
  std::ostream& out_;
  Level least_;
};

}  // namespace merlinbridge
