#pragma once

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <memory>
#include <ostream>
#include <string>
#include <string_view>

#include "util/json_escape.hpp"
#include "util/log_event.hpp"

namespace merlinbridge {

/// A key and its value in a log line. The value must outlive the call that logs it.
template <class Value>
struct LogField {
  std::string_view key;
  const Value& value;
};
template <class Value>
LogField(std::string_view, const Value&) -> LogField<Value>;

/// Writes log lines of a minimum level, each as text or as a JSON object:
///
///     warning: discovery_unreachable: discovery unreachable, keeping the last endpoint list generation=41
///     {"level":"warning","event":"discovery_unreachable","text":"discovery unreachable, ... generation=41"}
///
/// A value that is empty or holds spaces or quotes stands in double quotes. Not thread-safe.
class Log {
 public:
  enum class Form { text, json };

  /// `out` must outlive the log.
  Log(std::ostream& out, Level minLevel, Form form = Form::text)
      : sink_(std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)),
        logger_("merlinbridge", sink_),
        form_(form) {
    sink_->set_pattern("%v");
    setMinLevel(minLevel);
  }
  void configure(Level minLevel, Form form) {
    form_ = form;
    setMinLevel(minLevel);
  }

  /// Whether lines of that event are written; for callers whose fields are expensive to compute.
  bool enabled(LogEvent event) const { return infoOf(event).level >= minLevel_; }
  /// Writes one line: the event's message from the table, then the fields in the order given.
  template <class... Values>
  void operator()(LogEvent event, const LogField<Values>&... fields) {
    if (!enabled(event)) return;
    const LogEventInfo& info = infoOf(event);
    std::string text(info.message);
    (appendField(text, fields.key, fmt::format("{}", fields.value)), ...);
    if (form_ == Form::text)
      logger_.log(spdlogLevel(info.level), "{}: {}: {}", nameOf(info.level), info.name, text);
    else
      logger_.log(spdlogLevel(info.level), R"({{"level":"{}","event":"{}","text":"{}"}})", nameOf(info.level),
                  info.name, util::escapeJson(text));
  }

 private:
  static void appendField(std::string& text, std::string_view key, std::string_view value) {
    const bool quoted = value.empty() || value.find_first_of(" \"") != std::string_view::npos;
    text += quoted ? fmt::format(" {}=\"{}\"", key, value) : fmt::format(" {}={}", key, value);
  }
  static spdlog::level::level_enum spdlogLevel(Level level) {
    static constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                            spdlog::level::warn, spdlog::level::err};
    return kLevels[static_cast<int>(level)];
  }
  void setMinLevel(Level minLevel) {
    minLevel_ = minLevel;
    logger_.set_level(spdlogLevel(minLevel));
    logger_.flush_on(spdlog::level::debug);
  }

  std::shared_ptr<spdlog::sinks::ostream_sink_st> sink_;
  spdlog::logger logger_;
  Form form_;
  Level minLevel_ = Level::info;
};

}  // namespace merlinbridge
