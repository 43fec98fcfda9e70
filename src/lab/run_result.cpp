#include "lab/run_result.hpp"

#include <fmt/format.h>

#ifndef MERLINBRIDGE_VERSION
#define MERLINBRIDGE_VERSION "unknown"
#endif

namespace merlinbridge::lab {
namespace {

/// Title of the fingerprint, which covers all events of the run in order: identical runs have the same one.
constexpr std::string_view kFingerprintTitle = "print";

}  // namespace

Row rowOf(const Run& run, const emulator::Metrics& metrics) {
  Row row;
  row.scenario = run.scenario.name;
  row.hash = fmt::format("{:016x}", run.scenario.hash);
  row.version = MERLINBRIDGE_VERSION;
  row.policy = wordOf(run.policy);
  row.seed = run.seed;
  row.fields = run.fields;
  for (const auto& [title, value] : emulator::figuresOf(metrics)) row.figures[title] = value;
  return row;
}

std::string timelineTable(const emulator::Metrics& metrics) {
  std::string table =
      "second,requests,in_time,late,failed,rejected,attempts,connections,counter_calls,units_sent,units_"
      "beyond\n";
  for (std::size_t index = 0; index < metrics.seconds.size(); ++index) {
    const auto& second = metrics.seconds[index];
    table += fmt::format("{},{},{},{},{},{},{},{},{},{:.6g},{:.6g}\n", index, second.requests, second.inTime,
                         second.late, second.failed, second.rejected, second.attempts, second.newConnections,
                         second.counterCalls, second.unitsSent, second.unitsOverQuota);
  }
  return table + fmt::format("# end,{}\n", metrics.seconds.size());
}

std::string summaryOf(const Run& run, const emulator::Metrics& metrics) {
  std::string text = fmt::format("{} ({:016x}), seed {}, {}: emulated\n", run.scenario.name,
                                 run.scenario.hash, run.seed, wordOf(run.policy));
  for (const auto& [title, value] : emulator::figuresOf(metrics))
    text += fmt::format("  {:<22} {:.6g}\n", title, value);
  text += fmt::format("  {:<22} {}\n  {:<22} {:016x}\n", "events", metrics.events, kFingerprintTitle,
                      metrics.fingerprint);
  for (const emulator::Violation& violation : metrics.firstViolations)
    text += fmt::format("INVARIANT VIOLATED at {:.4f} s: {}, request {}: {}\n",
                        seconds(violation.at.time_since_epoch()), wordOf(violation.rule),
                        violation.attemptId.value, violation.what);
  return text;
}

}  // namespace merlinbridge::lab
