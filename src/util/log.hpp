#pragma once

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <memory>
#include <ostream>
#include <sstream>
#include <string_view>

#include "util/json_escape.hpp"

namespace merlinbridge {

enum class Level { debug, info, warning, error };

/// Lines for staff, of a level and above: as text, or each as a JSON object. An event's name stays the same
/// from release to release, its words may change.
class Log {
 public:
  enum class Form { text, json };

  Log(std::ostream& out, Level least, Form form = Form::text)
      : sink_(std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)),
        logger_("merlinbridge", sink_),
        form_(form) {
    sink_->set_pattern("%v");
    setLevel(least);
  }
  void use(Level least, Form form) {
    form_ = form;
    setLevel(least);
  }

  /// Whether lines of that level are written: where the parts of one cost something to gather.
  bool enabled(Level level) const { return level >= least_; }
  template <class... Parts>
  void operator()(Level level, std::string_view event, const Parts&... parts) {
    if (!enabled(level)) return;
    std::ostringstream text;
    (text << ... << parts);
    static constexpr std::string_view kWords[] = {"debug", "info", "warning", "error"};
    const std::string_view word = kWords[static_cast<int>(level)];
    if (form_ == Form::text)
      logger_.log(spdlogLevel(level), "{}: {}", word, text.str());
    else
      logger_.log(spdlogLevel(level), R"({{"level":"{}","event":"{}","text":"{}"}})", word, event,
                  util::escapeJson(text.str()));
  }

 private:
  static spdlog::level::level_enum spdlogLevel(Level level) {
    static constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                            spdlog::level::warn, spdlog::level::err};
    return kLevels[static_cast<int>(level)];
  }
  void setLevel(Level least) {
    least_ = least;
    logger_.set_level(spdlogLevel(least));
    logger_.flush_on(spdlog::level::debug);
  }

  std::shared_ptr<spdlog::sinks::ostream_sink_st> sink_;
  spdlog::logger logger_;
  Form form_;
  Level least_ = Level::info;
};

}  // namespace merlinbridge
