#include <fmt/format.h>

#include <filesystem>
#include <iostream>

#include "emulator/scenario.hpp"
#include "lab/chart.hpp"
#include "lab/commands/command.hpp"
#include "lab/figure_titles.hpp"

namespace merlinbridge::lab {
namespace {

/// `report`: draws figures of a table over one of its changed fields, each in a file of its own.
class ReportCommand final : public Command {
 public:
  CLI::App* addTo(CLI::App& program) override {
    CLI::App* const command =
        program.add_subcommand("report", "draws figures of a table over one of its fields");
    command->add_option("table", table_, "a table that sweep wrote")->required();
    command->add_option("--field", field_, "the field along the axis")->required();
    command->add_option("--figure", figures_, "figures to draw")->delimiter(',')->capture_default_str();
    command->add_flag("--log-x", logarithmic_, "a logarithmic axis");
    command->add_option("--out", folder_, "a folder for the charts")->required();
    return command;
  }

  ExitCode execute() override {
    const auto rows = readTable(emulator::textOfFile(table_), table_, warnOnStderr);
    const AxisScale scale = logarithmic_ ? AxisScale::logarithmic : AxisScale::linear;
    std::filesystem::create_directories(folder_);
    for (const std::string& figure : figures_) {
      const std::string path = fmt::format("{}/{}.svg", folder_, currentTitle(figure));
      replaceFile(path, renderSvg(chartOf(rows, field_, figure, scale)));
      std::cout << path << '\n';
    }
    return ExitCode::success;
  }

 private:
  std::string table_;
  std::string field_;
  std::vector<std::string> figures_ = kDefaultFigures;
  bool logarithmic_ = false;
  std::string folder_;
};

}  // namespace

std::unique_ptr<Command> makeReportCommand() {
  return std::make_unique<ReportCommand>();
}

}  // namespace merlinbridge::lab
