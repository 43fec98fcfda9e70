#include <fmt/format.h>

#include <iterator>

#include "emulator/scenario.hpp"
#include "emulator/scenario_words.hpp"

namespace merlinbridge::emulator {
namespace {

/// Writes TOML, one key per line.
class TomlWriter {
 public:
  /// Begins a table, as "[fleet]" or "[[fault]]".
  void table(std::string_view head) { text_ += fmt::format("\n{}\n", head); }
  template <class Value>
  void value(std::string_view key, const Value& value) {
    fmt::format_to(std::back_inserter(text_), "{} = {}\n", key, value);
  }
  void text(std::string_view key, std::string_view value) { this->value(key, quoted(value)); }
  /// Written in the largest unit of s, ms and ns that gives a whole number.
  void duration(std::string_view key, Duration duration) {
    constexpr std::int64_t kSecond = 1'000'000'000;
    constexpr std::int64_t kMillisecond = 1'000'000;
    const auto nanoseconds = duration.count();
    if (nanoseconds % kSecond == 0) return text(key, fmt::format("{}s", nanoseconds / kSecond));
    if (nanoseconds % kMillisecond == 0) return text(key, fmt::format("{}ms", nanoseconds / kMillisecond));
    text(key, fmt::format("{}ns", nanoseconds));
  }
  /// Written as one time, or as minimum and maximum.
  void range(std::string_view key, Range range) {
    if (range.min == range.max) return text(key, fmt::format("{}s", range.min));
    value(key, fmt::format("[\"{}s\", \"{}s\"]", range.min, range.max));
  }
  std::string take() { return std::move(text_); }

 private:
  static std::string quoted(std::string_view value) {
    constexpr unsigned char kFirstPrintable = 0x20;
    std::string out = "\"";
    for (const char letter : value) {
      if (static_cast<unsigned char>(letter) < kFirstPrintable) {
        out += fmt::format("\\u{:04x}", static_cast<unsigned>(letter));
        continue;
      }
      if (letter == '"' || letter == '\\') out += '\\';
      out += letter;
    }
    return out + '"';
  }

  std::string text_;
};

void writeFleet(TomlWriter& out, const Scenario& scenario) {
  out.table("[fleet]");
  out.value("gateways", scenario.gateways);
  out.value("zones", scenario.zones);
  out.duration("restart", scenario.restartDelay);
  out.duration("notice", scenario.failureDetectionDelay);
}

void writeHosts(TomlWriter& out, const Scenario& scenario) {
  out.table("[hosts]");
  out.value("count", scenario.hosts);
  out.value("cores", scenario.cores);
  out.value("queue_capacity", scenario.queueCapacity);
  out.value("connections", scenario.maxConnectionsPerHost);
  out.duration("idle", scenario.idleTimeout);
  out.duration("slow_start_time", scenario.slowStartTime);
  out.value("start_capacity", scenario.startCapacity);
  out.duration("overload_window", scenario.overloadWindow);
  out.value("overload_multiple", scenario.overloadMultiple);
  out.value("stops_cancelled", scenario.stopsCancelled);
  out.value("reports", scenario.reportsLoad);
}

void writeNetwork(TomlWriter& out, const Scenario& scenario) {
  out.table("[network]");
  out.duration("delay", scenario.delay);
  out.duration("jitter", scenario.jitter);
  out.value("loss", scenario.loss);
  out.duration("connect_timeout", scenario.connectTimeout);
}

void writeClients(TomlWriter& out, const Scenario& scenario) {
  out.table("[clients]");
  out.value("rate", scenario.rate);
  out.value("customers", scenario.customers);
  out.value("skew", scenario.skew);
  out.value("units", scenario.units);
  out.value("spread", scenario.spread);
  out.value("max_attempts", scenario.maxClientAttempts);
  out.duration("wait", scenario.initialBackoff);
  out.value("honors_retry_after", scenario.honorsRetryAfter);
  out.value("abandon_probability", scenario.abandonProbability);
}

void writeMethod(TomlWriter& out, const ScenarioMethod& method) {
  out.table("[[method]]");
  out.text("name", method.name);
  out.text("repeat", nameIn(kIdempotencyNames, method.idempotency));
  out.text("group", nameIn(kDeduplicationScopeNames, method.deduplicationScope));
  out.duration("window", method.deduplicationWindow);
  out.duration("soft", method.softDeadline);
  out.duration("deadline", method.deadline);
  out.duration("work", method.work);
  out.value("share", method.share);
  out.value("utility", method.utility);
}

void writePlan(TomlWriter& out, const ScenarioPlan& plan) {
  out.table("[[plan]]");
  out.text("name", plan.name);
  out.value("rate", plan.plan.rate);
  out.value("burst", plan.plan.burst);
  out.value("open", plan.plan.maxInFlight);
  out.value("ceiling_rate", plan.plan.ceilingRate);
  out.value("ceiling_burst", plan.plan.ceilingBurst);
  out.value("ceiling_slack", plan.plan.ceilingSlack);
  out.value("price", plan.plan.price);
  out.value("share", plan.share);
}

void writeCounter(TomlWriter& out, const Scenario& scenario) {
  out.table("[counter]");
  out.value("present", scenario.hasCounter);
  out.value("parts", scenario.counterPartitions);
  out.value("queue_capacity", scenario.counterQueueCapacity);
  out.duration("service", scenario.counterServiceTime);
  out.duration("timeout", scenario.counterTimeout);
}

void writeDiscovery(TomlWriter& out, const Scenario& scenario) {
  out.table("[discovery]");
  out.duration("notification_delay", scenario.notificationDelay);
  out.value("indented", scenario.indentedLists);
}

void writeRules(TomlWriter& out, const Scenario& scenario) {
  out.table("[rules]");
  out.duration("drain_grace", scenario.drainGrace);
  out.duration("answer_slack", scenario.answerSlack);
  out.duration("max_retry_after", scenario.maxRetryAfter);
  out.value("allow_cancel", scenario.allowCancel);
  out.value("allow_hedging", scenario.allowHedging);
  out.value("max_attempts", scenario.maxAttempts);
}

void writeFault(TomlWriter& out, const Fault& fault) {
  out.table("[[fault]]");
  out.text("kind", wordOf(fault.kind));
  out.range("from", fault.from);
  out.range("lasts", fault.duration);
  out.value("share", fault.share);
  out.value("factor", fault.factor);
  out.value("steps", fault.steps);
}

}  // namespace

std::string writeScenario(const Scenario& scenario) {
  TomlWriter out;
  out.text("name", scenario.name);
  out.duration("length", scenario.length);
  writeFleet(out, scenario);
  writeHosts(out, scenario);
  writeNetwork(out, scenario);
  writeClients(out, scenario);
  for (const ScenarioMethod& method : scenario.methods) writeMethod(out, method);
  for (const ScenarioPlan& plan : scenario.plans) writePlan(out, plan);
  writeCounter(out, scenario);
  writeDiscovery(out, scenario);
  writeRules(out, scenario);
  for (const Fault& fault : scenario.faults) writeFault(out, fault);
  return out.take();
}

}  // namespace merlinbridge::emulator
