#pragma once

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include <array>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include "util/json_escape.hpp"
#include "util/log_event.hpp"

/// The log and the format of its lines. An event's level, name, message and fields are written in one of two
/// formats:
///
///     warning: discovery_unreachable: discovery unreachable, keeping the last endpoint list generation=41
///     {"level":"warning","event":"discovery_unreachable","text":"discovery unreachable, ... generation=41"}
namespace merlinbridge {

/// The format of a log line.
enum class LogFormat {
  text,  ///< `level: event: message key=value ...`
  json   ///< An object with the strings level, event and text; text is the message and the fields as above.
};

/// The names of the formats in the setting [log] form.
inline constexpr std::array<std::pair<std::string_view, LogFormat>, 2> kLogFormatNames{
    {{"text", LogFormat::text}, {"json", LogFormat::json}}};

/// A key and its value in a log line. Keeps a reference to the value, which must outlive the formatting call.
template <class Value>
struct LogField {
  std::string_view key;
  const Value& value;
};
template <class Value>
LogField(std::string_view, const Value&) -> LogField<Value>;

/// Appends ` key=value`. A value that is empty or contains spaces or double quotes is put in double quotes;
/// double quotes in it are not escaped.
inline void appendLogField(std::string& text, std::string_view key, std::string_view value) {
  const bool quoted = value.empty() || value.find_first_of(" \"") != std::string_view::npos;
  text += quoted ? fmt::format(" {}=\"{}\"", key, value) : fmt::format(" {}={}", key, value);
}

/// Formats the line of an event, without a line feed: the message from the catalogue, then the fields in the
/// given order, each value as fmt formats it.
template <class... Values>
std::string formatLogLine(LogFormat format, LogEvent event, const LogField<Values>&... fields) {
  const LogEventInfo& info = infoOf(event);
  std::string text(info.message);
  (appendLogField(text, fields.key, fmt::format("{}", fields.value)), ...);
  if (format == LogFormat::text) return fmt::format("{}: {}: {}", nameOf(info.level), info.name, text);
  return fmt::format(R"({{"level":"{}","event":"{}","text":"{}"}})", nameOf(info.level), info.name,
                     util::escapeJson(text));
}

/// Writes log lines of a minimum level and above to a stream and flushes each line. Not thread-safe: used
/// only on the gateway's single thread.
class Log {
 public:
  /// The caller keeps ownership of `out`, which must outlive the log.
  Log(std::ostream& out, LogLevel minLevel, LogFormat format = LogFormat::text)
      : sink_(std::make_shared<spdlog::sinks::ostream_sink_st>(out, true)),
        logger_("merlinbridge", sink_),
        format_(format),
        minLevel_(minLevel) {
    sink_->set_pattern("%v");
    logger_.set_level(spdlog::level::trace);  // enabled() filters by level
    logger_.flush_on(spdlog::level::trace);
  }
  /// Sets the minimum level and the format for all following lines.
  void configure(LogLevel minLevel, LogFormat format) {
    format_ = format;
    minLevel_ = minLevel;
  }

  /// Whether lines of this event are written; for callers whose fields are expensive to compute.
  bool enabled(LogEvent event) const { return infoOf(event).level >= minLevel_; }
  /// Writes one line, or nothing if the event's level is below the minimum. The fields must be those that the
  /// catalogue lists for the event, in the same order.
  template <class... Values>
  void operator()(LogEvent event, const LogField<Values>&... fields) {
    if (enabled(event)) logger_.log(spdlog::level::info, formatLogLine(format_, event, fields...));
  }

 private:
  std::shared_ptr<spdlog::sinks::ostream_sink_st> sink_;
  spdlog::logger logger_;
  LogFormat format_;
  LogLevel minLevel_;
};

}  // namespace merlinbridge
