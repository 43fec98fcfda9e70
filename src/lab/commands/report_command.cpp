#include <fmt/format.h>

#include <filesystem>
#include <iostream>

#include "emulator/scenario.hpp"
#include "lab/chart.hpp"
#include "lab/commands/command.hpp"
#include "lab/figure_titles.hpp"

namespace merlinbridge::lab {
namespace {

/// `report`: plots figures of a table against one of its changed fields, one file per figure.
class ReportCommand final : public Command {
 public:
  CLI::App* addTo(CLI::App& program) override {
    CLI::App* const command =
        program.add_subcommand("report", "plots figures of a table against one of its fields");
    command->add_option("table", table_, "table written by sweep")->required();
    command->add_option("--field", field_, "field on the horizontal axis")->required();
    command->add_option("--figure", figures_, "figures to draw")->delimiter(',')->capture_default_str();
    command->add_flag("--log-x", logarithmic_, "logarithmic horizontal axis");
    command->add_option("--out", folder_, "folder for the charts")->required();
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
