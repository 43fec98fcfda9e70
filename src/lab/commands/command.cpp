#include "lab/commands/command.hpp"

#include <iostream>

namespace merlinbridge::lab {

void ScenarioOptions::addTo(CLI::App& command) {
  command.add_option("scenario", file, "scenario file in TOML")->required();
  command.add_option("--set", changes, "path=value, overrides a field of the scenario; may be given again")
      ->allow_extra_args(false);
}

void warnOnStderr(const std::string& warning) {
  std::cerr << "warning: " << warning << '\n';
}

}  // namespace merlinbridge::lab
