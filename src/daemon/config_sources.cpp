#include "daemon/config_sources.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config/json_fields.hpp"

namespace merlinbridge::daemon {
namespace {

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw config::ConfigError("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

std::string environmentVariable(const char* name) {
  const char* const text = std::getenv(name);
  return text ? text : "";
}

}  // namespace

ConfigSources ConfigSources::fromEnvironment() {
  return {environmentVariable("GW_CONFIG"), environmentVariable("GW_OWN")};
}

config::GatewayConfig ConfigSources::readPlatform() const {
  if (platformFile.empty()) throw config::ConfigError("GW_CONFIG is not set");
  return config::readGatewayConfig(readFile(platformFile));
}

config::OperatorConfig ConfigSources::readOperator() const {
  config::OperatorConfig read;
  if (!operatorFile.empty()) read = config::readOperatorConfig(readFile(operatorFile), operatorFile);
  const std::string level = environmentVariable("GW_LOG_LEVEL");
  if (level == "debug") read.level = Level::debug;
  if (level == "info") read.level = Level::info;
  if (level == "warning") read.level = Level::warning;
  if (level == "error") read.level = Level::error;
  return read;
}

}  // namespace merlinbridge::daemon
