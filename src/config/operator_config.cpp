#include "config/operator_config.hpp"

#include "config/toml_table.hpp"

namespace merlinbridge::config {
namespace {

constexpr int kMaxReloadRetries = 12;

void readLog(TomlTable log, OperatorConfig& config) {
  config.form = log.oneOf<LogForm>("form", config.form, kLogFormNames);
  config.level = log.oneOf<Level>("level", config.level, kLevelNames);
  log.done();
}

void readShutdown(TomlTable shutdown, const std::string& acceptKey, const std::string& killedKey,
                  OperatorConfig& config) {
  config.acceptFor = shutdown.duration(acceptKey, config.acceptFor);
  config.killedAfter = shutdown.duration(killedKey, config.killedAfter);
  if (config.killedAfter < config.acceptFor) shutdown.blame(killedKey, "a time no shorter than " + acceptKey);
  shutdown.done();
}

void readReload(TomlTable reload, OperatorConfig& config) {
  const bool oldName = reload.has("looks");
  const std::string key = oldName ? "looks" : "retries";
  if (oldName) config.warnings.emplace_back("key reload.looks is now called reload.retries");
  config.reloadRetries = reload.whole<int>(key, config.reloadRetries, 0, kMaxReloadRetries);
  reload.done();
}

}  // namespace

OperatorConfig readOperatorConfig(const std::string& text, const std::string& file) {
  const toml::table root = parse(text, file);
  TomlTable table(root, "", file);
  OperatorConfig config;
  readLog(table.part("log"), config);
  if (table.has("end")) {
    if (table.has("shutdown")) table.blame("end", "no table beside [shutdown], which is its new name");
    config.warnings.emplace_back(
        "table end with still_coming and most_life is now called shutdown with accept_for and killed_after");
    readShutdown(table.part("end"), "still_coming", "most_life", config);
  } else {
    readShutdown(table.part("shutdown"), "accept_for", "killed_after", config);
  }
  readReload(table.part("reload"), config);
  table.done();
  return config;
}

}  // namespace merlinbridge::config
