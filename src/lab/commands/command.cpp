#include "lab/commands/command.hpp"

#include <iostream>

namespace merlinbridge::lab {

void ScenarioOptions::addTo(CLI::App& command) {
  command.add_option("scenario", file, "a scenario in TOML")->required();
  command.add_option("--set", changes, "path=value, replaces what the scenario says")
      ->allow_extra_args(false);
}

void warnOnStderr(const std::string& warning) {
  std::cerr << "warning: " << warning << '\n';
}

}  // namespace merlinbridge::lab
