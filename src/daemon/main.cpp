// The command line of the gateway.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "daemon/commands.hpp"

namespace {

using merlinbridge::daemon::ConfigSources;

/// An option that names a file, under its present name and the one before, which is still read.
void addFileOption(CLI::App& command, const std::string& name, const std::string& oldName,
                   const std::string& help, std::string& file, std::vector<std::string>& warnings) {
  command.add_option(name, file, help);
  command
      .add_option_function<std::string>(oldName,
                                        [&file, &warnings, name, oldName](const std::string& given) {
                                          file = given;
                                          warnings.push_back("option " + oldName + " is now called " + name);
                                        })
      ->group("");  // not in the help
}

}  // namespace

int main(int argc, char** argv) {
  using namespace merlinbridge::daemon;
  std::signal(SIGHUP, SIG_IGN);   // until it is waited for: the file is still to be read
  std::signal(SIGPIPE, SIG_IGN);  // a log that nobody reads any more is no reason to end
  ConfigSources sources = ConfigSources::fromEnvironment();
  std::vector<std::string> warnings;
  CLI::App app{"merlinbridge: an API gateway that meters many customers' use of one shared service"};
  app.footer(
      "Exit codes: 0 ended as told, or all files are fit; 1 it could not start or go on; 2 bad words on the "
      "command line, or a file that is not fit.\n"
      "Without a command it serves.");
  app.require_subcommand(0, 1);
  CLI::App* const serving =
      app.add_subcommand("serve", "serves until SIGTERM; SIGHUP reads the platform's configuration again");
  CLI::App* const checking =
      app.add_subcommand("check", "says whether the files are fit, and starts nothing");
  CLI::App* const version = app.add_subcommand("version", "prints the version");
  for (CLI::App* const command : {serving, checking}) {
    addFileOption(*command, "--config", "--orders", "the platform's configuration (JSON), else GW_CONFIG",
                  sources.platformFile, warnings);
    addFileOption(*command, "--operator-config", "--own", "the operators' configuration (TOML), else GW_OWN",
                  sources.operatorFile, warnings);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kDone : kBadInput;
  }
  if (*version) {
    std::cout << "merlinbridge " << MERLINBRIDGE_VERSION << '\n';
    return kDone;
  }
  return *checking ? check(sources, warnings) : serve(sources, warnings);
}
