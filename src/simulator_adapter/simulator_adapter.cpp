#include "simulator_adapter/simulator_adapter.hpp"

#include <fmt/format.h>

#include <charconv>
#include <istream>
#include <iterator>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config/json_fields.hpp"
#include "config/policy_settings_reader.hpp"
#include "gateway_core/engine_log_event.hpp"
#include "gateway_core/gateway_core.hpp"
#include "util/json_escape.hpp"

namespace merlinbridge::simulator_adapter {
namespace {

using config::ConfigError;
using config::element;
using config::Fields;
using core::SlotRef;

using Output = fmt::memory_buffer;

std::int64_t micros(Duration span) {
  return span.count() / 1000;
}
std::int64_t micros(TimePoint time) {
  return micros(time.time_since_epoch());
}

std::string jsonText(std::string_view text) {
  return '"' + util::escapeJson(text) + '"';
}

// One gateway on the wire: an adapter round the core, as the sockets are. The bench ends attempts at their
// time and tells of it; a request's word on the wire stands for its client.
class Instance final : private core::Transport {
 public:
  Instance(std::int64_t number, const Fields& init, TimePoint now, Output& out)
      : number_(number),
        out_(out),
        loadNames_(config::loadFieldNames(init.part("profileData"))),
        core_(configOf(init), now, deadlines_, *this, core::Timekeeper::adapter) {}

  void fault(std::string_view text) { write(R"({{"fault":{{"i":{},"bodyText":{}}}}})", jsonText(text)); }

  void take(std::string_view message, const Fields& f, TimePoint now) {
    read(message, f, now);
    const TimePoint next = deadlines_.nextDueAt();
    if (next >= wokenAt_) return;
    wokenAt_ = next;
    write(R"({{"notifyMe":{{"i":{},"fireAt":{},"mark":"due"}}}})", micros(std::max(next, now)));
  }

 private:
  void answerOk(SlotRef, std::string_view, std::string_view) override {}  // the bench has seen to it
  void answerRejected(SlotRef requestId, Duration retryAfter) override {
    write(R"({{"sayNo":{{"i":{},"id":"{:016x}","holdOff":{}}}}})", requestId.packed(), micros(retryAfter));
  }
  void answerFailed(SlotRef requestId) override {
    write(R"({{"giveUp":{{"i":{},"id":"{:016x}"}}}})", requestId.packed());
  }
  std::variant<SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, SlotRef requestId, HostId host,
                                              AttemptDeadline deadline) override {
    write(R"({{"forward":{{"i":{},"id":"{:016x}","host":{},"abandonAt":{}}}}})", requestId.packed(),
          jsonText(core_.nameOf(host)), micros(deadline.abandonAt));
    return SlotRef{};
  }
  bool closeAttempt(SlotRef requestId, AttemptNumber no, SlotRef) override {
    write(R"({{"abandon":{{"i":{},"id":"{:016x}","sendNo":{}}}}})", requestId.packed(), no.value);
    return false;
  }
  void addToCounter(const CounterKey& name, double units, Duration keepFor) override {
    write(R"({{"postAmount":{{"i":{},"n":{},"forgetAfter":{},"counter":"{}"}}}})", units, micros(keepFor),
          word(name));
  }
  void hostUnavailable(HostId) override {}
  void report(EngineEvent event) override { log(infoOf(core::logEventOf(event)).message); }
  void endpointTableFull(std::string_view hostName) override {
    log(fmt::format("{} host={}", infoOf(LogEvent::endpointTableFull).message, hostName));
  }
  void log(std::string_view text) { write(R"({{"writeLog":{{"i":{},"bodyText":{}}}}})", jsonText(text)); }

  static config::GatewayConfig configOf(const Fields& init) {
    config::GatewayConfig told = config::readSettings(init.part("profileData"));
    told.seed = init.need<std::uint64_t>("rngSeed");
    return told;
  }

  void read(std::string_view message, const Fields& f, TimePoint now) {
    if (message == "demand") return takeDemand(f, now);
    if (message == "result") return takeResult(f, now);
    if (message == "fired") return takeFired(now);
    if (message == "counted") return takeCounted(f, now);
    if (message == "cancelledByClient") {
      const auto at = requests_.find(readRequestId(f));
      if (at == requests_.end()) return;
      core_.clientLeft(now, at->second);
      return forget(at);
    }
    if (message == "headReceived") return;  // a stream that breaks is told to have answered its client
    if (message == "pingResult") return;    // no health checks are asked for
    if (message == "peersKnown") return takeHosts(f, now);
    if (message == "mail") return;  // the design learns nothing from peers
    throw ConfigError("unknown message '" + std::string(message) + "'");
  }

  template <class... Args>
  void write(std::string_view format, const Args&... args) {
    fmt::vformat_to(std::back_inserter(out_), format, fmt::make_format_args(number_, args...));
    out_.push_back('\n');
  }

  static std::string word(const CounterKey& name) {
    return fmt::format("{}{}.{}", name.kind == CounterKey::Kind::quotaUse ? 'u' : 'o', name.customer.value,
                       name.slot.value);
  }

  static std::uint64_t readRequestId(const Fields& f) {
    const auto text = f.need<std::string_view>("id");
    std::uint64_t requestId = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), requestId, 16);
    if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size())
      f.blame("id", "is not 16 hex digits");
    return requestId;
  }

  void takeDemand(const Fields& f, TimePoint now) {
    const std::uint64_t word = readRequestId(f);
    const RequestId requestId = core_.requestArrived(now, SlotRef::unpacked(word),
                                                     {{},
                                                      {f.get("apiKey", std::uint64_t{0})},
                                                      {f.get("tariff", 0u)},
                                                      {f.get("class", 0u)},
                                                      TimePoint(f.duration("dropDead")),
                                                      f.get("costUnits", 1.0),
                                                      f.get("doors", 0u)});
    if (core_.holds(requestId)) requests_.emplace(word, requestId);
  }

  void forget(std::unordered_map<std::uint64_t, RequestId>::iterator at) {
    if (!core_.holds(at->second)) requests_.erase(at);
  }

  void takeFired(TimePoint now) {
    wokenAt_ = TimePoint::max();
    deadlines_.run(now);
  }

  static Outcome outcomeOf(const Fields& f) {
    const auto code = f.need<std::string_view>("code");
    if (code == "served") return Outcome::ok;
    if (code == "turned_away") return Outcome::rejected;
    if (code == "no_answer") return Outcome::noAnswer;
    if (code == "no_connection") return Outcome::noConnection;
    if (code == "connection_lost") return Outcome::lost;
    if (code == "called_off") return Outcome::cancelled;
    if (code == "not_sent") return Outcome::notSent;
    if (code == "server_error") return Outcome::error;
    f.blame("code", "is not known");
  }

  LoadReport readLoad(const Fields& f) const {
    LoadReport load;
    if (!f.has("stats")) return load;
    simdjson::dom::array stats;
    if (f.need<element>("stats").get(stats)) f.blame("stats", "is not an array");
    std::size_t at = 0;
    for (const element stat : stats) {
      double value = 0;
      if (stat.get(value)) f.blame("stats", "holds what is not a number");
      if (at == loadNames_.size()) break;
      config::readLoadFigure(load, loadNames_[at++], value);
    }
    return load;
  }

  void takeResult(const Fields& f, TimePoint now) {
    const auto at = requests_.find(readRequestId(f));
    if (at == requests_.end()) return;
    core_.attemptEnded(now, at->second, {f.need<std::uint32_t>("sendNo")}, outcomeOf(f),
                       {{},
                        {},
                        f.get("finalUnits", 0.0),
                        readLoad(f),
                        f.duration("elapsed", Duration{0}),
                        f.get("finished", false)});
    forget(at);
  }

  void takeCounted(const Fields& f, TimePoint now) {
    const auto name = f.need<std::string_view>("counter");
    const auto code = f.need<std::string_view>("code");
    CounterKey count{
        name.starts_with('u') ? CounterKey::Kind::quotaUse : CounterKey::Kind::inFlightTime, {0}, {0}};
    const auto dot = std::min(name.find('.'), name.size());
    if (name.size() < 4 || dot + 1 >= name.size()) return;  // not one that was asked for here
    std::from_chars(name.data() + 1, name.data() + dot, count.customer.value);
    std::from_chars(name.data() + dot + 1, name.data() + name.size(), count.slot.value);
    const CounterCallOutcome end = code == "served" ? CounterCallOutcome::ok
                                   : code == "turned_away" || code == "no_connection"
                                       ? CounterCallOutcome::notAdded
                                       : CounterCallOutcome::unknown;
    core_.counterCallEnded(now, count, end, end == CounterCallOutcome::ok ? f.get("level", 0.0) : 0,
                           f.duration("elapsed", Duration{0}));
  }

  void takeHosts(const Fields& f, TimePoint now) {
    const auto how = f.need<std::string_view>("how");
    if (how == "lost") return;
    config::EndpointList endpoints{f.get("gen", std::uint64_t{0}), how != "incr", {}};
    simdjson::dom::array entries;
    if (f.has("hosts") && f.need<element>("hosts").get(entries)) f.blame("hosts", "is not an array");
    if (f.has("hosts"))
      for (const element entry : entries) {
        const Fields line("peersKnown.hosts", entry);
        const auto state = line.need<std::string_view>("stageState");
        endpoints.entries.push_back(
            {std::string(line.need<std::string_view>("host")), "", std::to_string(line.get("area", 0u)),
             std::to_string(line.get("hw", 0u)), line.get("bay", std::int64_t{-1}), state == "in_service",
             state == "terminated", line.get("weight", 1.0), line.duration("bootTime", Duration{0})});
      }
    core_.endpointsUpdated(now, endpoints);
  }

  std::int64_t number_;
  Output& out_;
  std::vector<std::string> loadNames_;
  core::DeadlineQueue deadlines_;
  TimePoint wokenAt_ = TimePoint::max();                   // the bench wakes it then, or before
  std::unordered_map<std::uint64_t, RequestId> requests_;  // by their words on the wire
  core::GatewayCore core_;
};

// All instances of one process, and the batch that is being read.
class Session {
 public:
  explicit Session(std::ostream& out) : out_(out) {}

  void take(std::string_view name, const element& body) {
    if (!body.is_object()) throw ConfigError(std::string(name) + ": has no object of fields");
    const Fields f(name, body);
    if (name == "turn") return beginBatch(f);
    if (!inBatch_) throw ConfigError(std::string(name) + ": outside a batch");
    if (name == "eofBatch") return endBatch();
    takeForInstance(name, f);
  }
  void end() const {
    if (inBatch_) throw ConfigError("eofBatch: missing, the input ended inside a batch");
  }

 private:
  void beginBatch(const Fields& f) {
    if (inBatch_) throw ConfigError("turn: inside a batch");
    now_ = TimePoint(f.duration("wall"));
    inBatch_ = true;
  }
  void endBatch() {
    fmt::format_to(std::back_inserter(reply_), "{{\"ready\":{{}}}}\n");
    out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size())).flush();
    reply_.clear();
    inBatch_ = false;
  }
  void takeForInstance(std::string_view name, const Fields& f) {
    const auto number = f.need<std::int64_t>("i");
    if (name == "init") {
      instances_.erase(number);
      instances_.try_emplace(number, number, f, now_, reply_);
      return;
    }
    const auto instance = instances_.find(number);
    if (name == "down") {
      if (instance != instances_.end()) instances_.erase(instance);
      return;
    }
    if (instance == instances_.end())
      throw ConfigError(std::string(name) + ": field 'i' names instance " + std::to_string(number) +
                        ", which was never started");
    try {
      instance->second.take(name, f, now_);
    } catch (const ConfigError&) {
      throw;
    } catch (const std::exception& e) {
      instance->second.fault(e.what());
    }
  }

  std::ostream& out_;
  std::map<std::int64_t, Instance> instances_;
  Output reply_;
  bool inBatch_ = false;
  TimePoint now_{};
};

}  // namespace

void serve(std::istream& in, std::ostream& out) {
  Session session(out);
  simdjson::dom::parser parser;
  std::string line;
  while (std::getline(in, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
    simdjson::dom::object message;
    if (parser.parse(line).get(message))
      throw ConfigError("a line is not a JSON object: " + line.substr(0, 60));
    if (message.size() != 1) throw ConfigError("a message has not exactly one name: " + line.substr(0, 60));
    const auto [name, body] = *message.begin();
    session.take(name, body);
  }
  session.end();
}

}  // namespace merlinbridge::simulator_adapter
