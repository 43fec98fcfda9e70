#include "daemon/config_sources.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <system_error>

#include "config/json_fields.hpp"
#include "daemon/start_retry.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::daemon {
namespace {

constexpr std::size_t kReadBytes = 65536;  // per read call

// A transient error is thrown as std::system_error, so that the caller may retry. Others, such as a missing
// file or missing permissions, are permanent.
[[noreturn]] void throwUnreadable(const std::string& path) {
  const int error = errno;
  if (!isTransient(error)) throw config::ConfigError({config::ConfigFault::unreadableFile, path, {}, {}});
  throw std::system_error(error, std::generic_category(), "cannot read " + path);
}

std::string readFile(const std::string& path) {
  const net::Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file) throwUnreadable(path);
  std::string text;
  std::array<char, kReadBytes> bytes{};
  while (true) {
    const ssize_t got = ::read(file.get(), bytes.data(), bytes.size());
    if (got == 0) return text;
    if (got > 0)
      text.append(bytes.data(), static_cast<std::size_t>(got));
    else if (errno != EINTR)
      throwUnreadable(path);
  }
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
  if (platformFile.empty())
    throw config::ConfigError({config::ConfigFault::unsetVariable, "GW_CONFIG", {}, {}});
  return config::readGatewayConfig(readFile(platformFile));
}

config::OperatorConfig ConfigSources::readOperator() const {
  config::OperatorConfig operatorConfig;
  if (!operatorFile.empty())
    operatorConfig = config::readOperatorConfig(readFile(operatorFile), operatorFile);
  operatorConfig.level = parseLogLevel(environmentVariable("GW_LOG_LEVEL")).value_or(operatorConfig.level);
  return operatorConfig;
}

}  // namespace merlinbridge::daemon
