#include "config/operator_config.hpp"

#include "config/toml_table.hpp"

namespace merlinbridge::config {
namespace {

constexpr int kMaxReloadRetries = 12;

/// The table and the keys of the two shutdown durations.
struct ShutdownKeys {
  const char* section;
  const char* acceptFor;
  const char* killedAfter;
};
constexpr ShutdownKeys kShutdownKeys{"shutdown", "accept_for", "killed_after"};
constexpr ShutdownKeys kOldShutdownKeys{"end", "still_coming", "most_life"};

void readLog(TomlTable log, OperatorConfig& config) {
  config.form = log.oneOf<LogFormat>("form", config.form, kLogFormatNames);
  config.level = log.oneOf<LogLevel>("level", config.level, kLogLevelNames);
  log.rejectUnknownKeys();
}

void readShutdown(TomlTable& root, OperatorConfig& config) {
  const bool usesOldKeys = root.has(kOldShutdownKeys.section);
  if (usesOldKeys && root.has(kShutdownKeys.section))
    root.fail(kOldShutdownKeys.section, "no table [end], since its new name [shutdown] is also set");
  if (usesOldKeys)
    config.renamed.push_back(
        {"table end with still_coming and most_life", "shutdown with accept_for and killed_after"});
  const ShutdownKeys& keys = usesOldKeys ? kOldShutdownKeys : kShutdownKeys;
  TomlTable shutdown = root.section(keys.section);
  config.acceptFor = shutdown.duration(keys.acceptFor, config.acceptFor);
  config.killedAfter = shutdown.duration(keys.killedAfter, config.killedAfter);
  if (config.killedAfter < config.acceptFor)
    shutdown.fail(keys.killedAfter, std::string("a duration no shorter than ") + keys.acceptFor);
  shutdown.rejectUnknownKeys();
}

void readReload(TomlTable reload, OperatorConfig& config) {
  const bool usesOldKey = reload.has("looks");
  if (usesOldKey) config.renamed.push_back({"key reload.looks", "reload.retries"});
  config.reloadRetries =
      reload.integer<int>(usesOldKey ? "looks" : "retries", config.reloadRetries, 0, kMaxReloadRetries);
  reload.rejectUnknownKeys();
}

}  // namespace

OperatorConfig readOperatorConfig(const std::string& text, const std::string& file) {
  const toml::table root = parse(text, file);
  TomlTable table(root, "", file);
  OperatorConfig config;
  readLog(table.section("log"), config);
  readShutdown(table, config);
  readReload(table.section("reload"), config);
  table.rejectUnknownKeys();
  return config;
}

}  // namespace merlinbridge::config
