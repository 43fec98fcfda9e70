// Command line of the gateway.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "daemon/commands.hpp"

namespace {

using merlinbridge::config::RenamedSetting;
using merlinbridge::daemon::ConfigSources;
using merlinbridge::daemon::ExitCode;

/// Adds an option that names a file, under its current name and its old one, which is still accepted. `file`
/// and `renamed` must outlive the parsing.
void addFileOption(CLI::App& command, const std::string& name, const std::string& oldName,
                   const std::string& help, std::string& file, std::vector<RenamedSetting>& renamed) {
  command.add_option(name, file, help);
  command
      .add_option_function<std::string>(oldName,
                                        [&file, &renamed, name, oldName](const std::string& given) {
                                          file = given;
                                          renamed.push_back({"option " + oldName, name});
                                        })
      ->group("");  // hidden from the help
}

/// Parses the command line and runs the command that it names.
ExitCode runCommand(int argc, char** argv) {
  ConfigSources sources = ConfigSources::fromEnvironment();
  std::vector<RenamedSetting> renamed;
  CLI::App app{"merlinbridge: an API gateway that meters many customers' use of one shared service"};
  app.footer(
      "Exit codes: 0 stopped on request, or all files are valid; 1 could not start or continue; 2 invalid "
      "command line or configuration file.\n"
      "The default command is serve.");
  app.require_subcommand(0, 1);
  CLI::App* const serveCommand = app.add_subcommand(
      "serve", "runs the gateway until SIGTERM; SIGHUP reloads the platform's configuration");
  CLI::App* const checkCommand = app.add_subcommand(
      "check", "checks whether the configuration files are valid, without starting the gateway");
  CLI::App* const versionCommand = app.add_subcommand("version", "prints the version");
  for (CLI::App* const command : {serveCommand, checkCommand}) {
    addFileOption(*command, "--config", "--orders", "the platform's configuration (JSON); default: GW_CONFIG",
                  sources.platformFile, renamed);
    addFileOption(*command, "--operator-config", "--own",
                  "the operators' configuration (TOML); default: GW_OWN", sources.operatorFile, renamed);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? ExitCode::success : ExitCode::badInput;
  }
  if (*versionCommand) {
    std::cout << "merlinbridge " << MERLINBRIDGE_VERSION << '\n';
    return ExitCode::success;
  }
  return *checkCommand ? merlinbridge::daemon::check(sources, renamed)
                       : merlinbridge::daemon::serve(sources, renamed);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGHUP, SIG_IGN);   // until SignalWatch handles it: the file is read at start-up anyway
  std::signal(SIGPIPE, SIG_IGN);  // writing to a closed standard error must not end the process
  return static_cast<int>(runCommand(argc, argv));
}
