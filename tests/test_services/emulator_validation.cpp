// Plays one scenario twice: in the emulator, and against the real daemon with stand-ins on loopback. What is
// compared, and how far it may differ, is written here before it is measured. Not part of CI: it takes the
// time that it plays.
#include <spawn.h>
#include <sys/wait.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "emulator/metrics.hpp"
#include "lab/result_table.hpp"
#include "test_services.hpp"

namespace merlinbridge::test_services {
namespace {

using emulator::Metrics;
using emulator::RandomStream;
using emulator::Scenario;

// Part of what is asked, of tries, of attempts; and times, which the kernel's own delays make longer on
// sockets.
constexpr double kPartMay = 0.05, kRatioMay = 0.1, kP50May = 4, kP99May = 40, kP99Ratio = 0.3;

std::string_view repeatWord(Repeat r) {
  return r == Repeat::idempotent ? "free" : r == Repeat::deduplicated ? "guarded" : "single_shot";
}
std::string_view groupWord(Group g) {
  return g == Group::all ? "all" : g == Group::zone ? "zone" : "cell";
}

std::string settingsOf(const Scenario& s, std::uint32_t me) {
  const auto us = [](Duration span) {
    return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
  };
  std::string methods, plans;
  for (const auto& m : s.methods)
    methods += fmt::format(
        R"({}{{"name":"{}","effect":"{}","group":"{}","window":{},"promise":{},"hardLimit":{},"importance":{}}})",
        methods.empty() ? "" : ",", m.name, repeatWord(m.repeat), groupWord(m.group), us(m.window),
        us(m.soft), us(m.deadline), m.utility);
  for (const auto& p : s.plans)
    plans += fmt::format(
        R"({}{{"name":"{}","unitsPerS":{},"storeSize":{},"open":{},"neverOverRate":{},"capDepth":{},"hardSlack":{},"price":{}}})",
        plans.empty() ? "" : ",", p.name, p.plan.rate, p.plan.burst, p.plan.open, p.plan.ceilingRate,
        p.plan.ceilingBurst, p.plan.ceilingSlack, p.plan.price);
  return fmt::format(
      R"({{"siblings":{},"me":{},"requestClasses":[{}],"tariffs":[{}],"familyInfo":{{"hasCounter":{},"countLimit":{},"largest":{}}},)"
      R"("limits":{{"connectTimeout":{},"connIdle":{},"cancel":{},"secondCopies":{},"tryLimit":{},"retryAfter":true,"maxRetryAfter":{}}},)"
      R"("rules":{{"startCapacity":{},"tipMultiple":{},"cold":{},"fall":{},"answerSlack":{},"drainGrace":{}}}}})",
      s.gateways, me, methods, plans, s.counter, us(s.counterTimeout), std::max(1.0, 4 * s.units),
      us(s.connectTimeout), us(s.idle), s.allowCancel, s.allowHedging, s.maxAttempts, us(s.maxRetryAfter),
      s.startCapacity, s.overloadMultiple, us(s.cold), us(s.tip), us(s.answerSlack), us(s.drainGrace));
}

class Daemons {
 public:
  Daemons(const Daemons&) = delete;
  Daemons& operator=(const Daemons&) = delete;
  explicit Daemons(std::string program) : program_(std::move(program)) {
    char folder[] = "/tmp/merlinbridge-validation-XXXXXX";
    if (!mkdtemp(folder)) throw lab::LabError("no folder for the daemons' files");
    folder_ = folder;
  }
  ~Daemons() {
    for (const pid_t pid : pids_) ::kill(pid, SIGKILL), ::waitpid(pid, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  void start(const std::string& config) {
    const std::string path = fmt::format("{}/{}.json", folder_, pids_.size()), log = path + ".log";
    lab::replaceFile(path, config);
    const std::string setting = "GW_CONFIG=" + path;
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    char* const argv[] = {program_.data(), nullptr};
    char* const env[] = {const_cast<char*>(setting.c_str()), nullptr};
    pid_t pid = 0;
    if (posix_spawn(&pid, program_.c_str(), &files, nullptr, argv, env) != 0)
      throw lab::LabError(program_ + " does not start");
    posix_spawn_file_actions_destroy(&files);
    pids_.push_back(pid);
  }
  // All are told to end. True: all have, with 0.
  bool end() {
    bool well = true;
    for (const pid_t pid : pids_) ::kill(pid, SIGTERM);
    for (const pid_t pid : pids_) {
      int status = 0;
      ::waitpid(pid, &status, 0);
      well = well && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    }
    pids_.clear();
    return well;
  }

 private:
  std::string program_, folder_;
  std::vector<pid_t> pids_;
};

// The clients, as in the emulator: the same arrivals by the same seed, the same way of asking again.
class Clients {
 public:
  Clients(asio::io_context& io, const Scenario& s, std::uint64_t seed, std::vector<Tcp::endpoint> gateways)
      : io_(io),
        s_(s),
        gateways_(std::move(gateways)),
        rest_(gateways_.size()),
        arrivals_(seed, "arrivals"),
        choices_(seed, "choices"),
        next_(io),
        began_(WallClock::now()) {
    double sum = 0;
    for (std::uint32_t c = 0; c < s.customers; ++c)
      customers_.push_back(sum += std::pow(double(c) + 1, -s.skew));
    sum = 0;
    for (const auto& m : s.methods) methods_.push_back(sum += m.share);
    sum = 0;
    for (const auto& p : s.plans) plans_.push_back(sum += p.share);
    schedule();
  }
  Metrics metrics;
  std::size_t waiting = 0;
  bool over = false;

 private:
  struct Wish {
    std::uint64_t customer = 0;
    std::size_t plan = 0, method = 0;
    double units = 0;
    WallClock::time_point askedAt, deadline;
    int triesLeft = 0, triesMade = 0;
    bool done = false;
  };
  struct Way {
    explicit Way(asio::io_context& io) : socket(io), timer(io) {}
    Tcp::socket socket;
    asio::steady_timer timer;
    std::string out, in;
    std::size_t used = 0;
    bool over = false;
    http::Message message{http::Message::Kind::answer};
  };

  static std::size_t drawFrom(const std::vector<double>& sums, double even) {
    const auto at = std::upper_bound(sums.begin(), sums.end(), even * sums.back());
    return std::min(sums.size() - 1, static_cast<std::size_t>(at - sums.begin()));
  }
  void schedule() {
    at_ += durationOf(arrivals_.exponential(1 / s_.rate));
    if (at_ > s_.length) return void(over = true);
    next_.expires_at(began_ + at_);
    next_.async_wait([this](const Error& error) {
      if (error) return;
      arrive();
      schedule();
    });
  }
  void arrive() {
    auto w = std::make_shared<Wish>();
    w->customer = drawFrom(customers_, arrivals_.uniform01()) + 1;
    w->method = drawFrom(methods_, arrivals_.uniform01());
    w->plan = drawFrom(plans_, double((w->customer * 0x9e3779b97f4a7c15u) >> 11) * 0x1p-53);
    w->units = std::clamp(std::round(arrivals_.exponential(s_.units)), std::min(1.0, s_.units),
                          std::max(1.0, 4 * s_.units));
    arrivals_.bernoulli(s_.leaves);
    w->askedAt = WallClock::now(), w->deadline = w->askedAt + s_.methods[w->method].deadline;
    w->triesLeft = s_.tries;
    ++metrics.asked, ++waiting;
    ask(w);
  }
  void end(const std::shared_ptr<Wish>& w, bool ok) {
    if (std::exchange(w->done, true)) return;
    --waiting;
    if (!ok) return void(++metrics.failed);
    const Duration took = WallClock::now() - w->askedAt;
    took <= s_.methods[w->method].soft ? ++metrics.inTime : ++metrics.late;
    metrics.latency.add(took);
  }
  void ask(const std::shared_ptr<Wish>& w) {
    if (w->triesLeft-- <= 0 || WallClock::now() >= w->deadline) return end(w, false);
    ++w->triesMade, ++metrics.tries;
    const std::uint32_t spread = std::min(s_.spread, s_.gateways);
    const auto first = static_cast<std::uint32_t>((w->customer * 0xff51afd7ed558ccdu >> 33) % s_.gateways);
    const auto n = static_cast<std::uint32_t>(spread * std::pow(choices_.uniform01(), 1.5));
    const std::size_t g = (first + n) % s_.gateways;
    const auto& m = s_.methods[w->method];
    std::shared_ptr<Way> way;
    if (!rest_[g].empty()) {
      way = rest_[g].back();
      rest_[g].pop_back();
    }
    const bool fresh = !way;
    if (fresh) way = std::make_shared<Way>(io_);
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(w->deadline - WallClock::now()).count();
    const bool keyed = m.repeat != Repeat::idempotent;
    ++lastTry_;
    way->out = fmt::format(
        "{} /{} HTTP/1.1\r\nHost: x\r\nReq-Id: {:016x}\r\nReq-Kind: {}\r\nPlan: {}\r\nAccount: "
        "{:016x}\r\nReq-Deadline-Ms: "
        "{}\r\nQuota-Info: units={},spread={},first={}\r\n{}\r\n",
        keyed ? "POST" : "GET", m.name, lastTry_, m.name, s_.plans[w->plan].name, w->customer, left, w->units,
        spread, first, keyed ? fmt::format("Idempotency-Key: {:x}\r\nContent-Length: 0\r\n", lastTry_) : "");
    way->used = 0, way->in.clear(), way->message.clear(), way->over = false;
    way->timer.expires_at(w->deadline + 2 * s_.answerSlack);
    way->timer.async_wait([this, w, way](const Error& error) {
      if (error || std::exchange(way->over, true)) return;
      Error ignored;
      way->socket.close(ignored);
      end(w, false);
    });
    const auto send = [this, w, way, g] {
      asio::async_write(
          way->socket, asio::buffer(way->out),
          [this, w, way, g](const Error& error, std::size_t) { error ? broken(w, way) : read(w, way, g); });
    };
    if (!fresh) return send();
    way->socket.async_connect(gateways_[g], [this, w, way, send](const Error& error) {
      if (error) return broken(w, way);
      Error ignored;
      way->socket.set_option(Tcp::no_delay(true), ignored);
      send();
    });
  }
  void read(const std::shared_ptr<Wish>& w, const std::shared_ptr<Way>& way, std::size_t g) {
    way->in.resize(way->used + 4096);
    way->socket.async_read_some(asio::buffer(way->in.data() + way->used, 4096),
                                [this, w, way, g](const Error& error, std::size_t n) {
                                  if (way->over) return;
                                  if (error) return broken(w, way);
                                  way->used += n;
                                  const auto stage = way->message.advance(way->in.data(), way->used);
                                  if (stage == http::Message::Stage::bad) return broken(w, way);
                                  if (stage != http::Message::Stage::done) return read(w, way, g);
                                  answered(w, way, g);
                                });
  }
  void answered(const std::shared_ptr<Wish>& w, const std::shared_ptr<Way>& way, std::size_t g) {
    way->over = true;
    way->timer.cancel();
    const int status = way->message.status();
    double advice = 0;
    const auto response = way->message.get("Retry-After");
    std::from_chars(response.data(), response.data() + response.size(), advice);
    if (way->message.keepsAlive()) rest_[g].push_back(way);
    if (status == 200) return end(w, true);
    const bool pushed = status == 429 || status == 503;
    pushed ? ++metrics.rejected : ++metrics.failedAnswers;
    again(w, pushed || mayAskAgain(*w), advice);
  }
  void broken(const std::shared_ptr<Wish>& w, const std::shared_ptr<Way>& way) {
    if (std::exchange(way->over, true)) return;
    way->timer.cancel();
    ++metrics.unreached;
    again(w, mayAskAgain(*w), 0);
  }
  bool mayAskAgain(const Wish& w) const {
    const auto& m = s_.methods[w.method];
    return m.repeat == Repeat::idempotent || (m.repeat == Repeat::deduplicated && m.group == Group::all);
  }
  void again(const std::shared_ptr<Wish>& w, bool may, double advice) {
    if (!may) return end(w, false);
    Duration wait =
        scaled(s_.wait, (0.5 + choices_.uniform01()) * double(1 << std::min(10, w->triesMade - 1)));
    if (advice > 0 && choices_.bernoulli(s_.heedsAdvice)) wait = std::max(wait, durationOf(advice));
    if (WallClock::now() + wait >= w->deadline || w->triesLeft <= 0) return end(w, false);
    auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait([this, w, timer](const Error&) { ask(w); });
  }

  asio::io_context& io_;
  const Scenario& s_;
  std::vector<Tcp::endpoint> gateways_;
  std::vector<std::vector<std::shared_ptr<Way>>> rest_;
  RandomStream arrivals_, choices_;
  asio::steady_timer next_;
  WallClock::time_point began_;
  Duration at_{0};
  std::uint64_t lastTry_ = 0;
  std::vector<double> customers_, methods_, plans_;
};

std::uint16_t freePort() {
  asio::io_context io;
  return Tcp::acceptor(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
}

Metrics onSockets(const Scenario& s, std::uint64_t seed, const std::string& program) {
  asio::io_context io;
  RandomStream works(seed, "works");
  std::vector<std::unique_ptr<Host>> hosts;
  std::string list;
  for (std::uint32_t h = 0; h < s.hosts; ++h) {
    hosts.push_back(std::make_unique<Host>(io, s.cores, s.room, s.reports, [&](std::string_view kind) {
      for (const auto& m : s.methods)
        if (m.name == kind) return scaled(m.work, 0.5 + works.exponential(0.5));
      return Duration{0};
    }));
    list += fmt::format(
        R"({}{{"instanceId":"h{}","hostPort":"{}","zone":"z{}","machineType":"m","cell":{},"lifecycle":"in_service","weight":1,"startedAtMs":0}})",
        h ? "," : "", h, hosts.back()->address(), h % s.zones, h % 8);
  }
  const std::string endpoints = fmt::format(R"({{"generation":1,"reset":true,"instances":[{}]}})", list);
  Counter counter(io, s.counterService);
  Discovery discovery(io);
  discovery.tell(endpoints);
  Daemons daemons(program);
  std::vector<Tcp::endpoint> gateways;
  for (std::uint32_t g = 0; g < s.gateways; ++g) {
    gateways.emplace_back(asio::ip::address_v4::loopback(), freePort());
    daemons.start(fmt::format(
        R"({{"name":"n{}","listen":"127.0.0.1:{}","discovery":"{}","seed":"{:x}","limits":{{"sockets":1024}},{}"known":{},"settings":{}}})",
        g, gateways.back().port(), discovery.address(), seed * 1000 + g,
        s.counter ? fmt::format(R"("counter":"{}",)", counter.address()) : "", endpoints, settingsOf(s, g)));
  }
  io.run_for(std::chrono::milliseconds(500));
  Clients clients(io, s, seed, gateways);
  const auto until = WallClock::now() + s.length + s.longestDeadline() + std::chrono::seconds(2);
  while (WallClock::now() < until && !(clients.over && clients.waiting == 0))
    io.run_for(std::chrono::milliseconds(20));
  Metrics t = std::move(clients.metrics);
  for (const auto& host : hosts)
    t.attempts += host->asked, t.connects += host->connects(), t.unitsSent += host->units;
  t.countCalls = counter.calls;
  if (!daemons.end()) throw lab::LabError("a daemon did not end with 0");
  return t;
}

int hold(const std::string& file, const std::string& seeds, const std::string& program) {
  const Scenario s = emulator::readScenario(emulator::textOfFile(file), file);
  if (!s.faults.empty()) throw lab::LabError("only a scenario without faults is held against sockets");
  int far = 0;
  std::istringstream words(seeds);
  std::cout << "seed,figure,emulated,sockets,may_differ,verdict\n";
  for (std::string word; std::getline(words, word, ',');) {
    const std::uint64_t seed = std::stoull(word);
    const Metrics emulated = emulator::play(s, seed, emulator::Policy::module),
                  real = onSockets(s, seed, program);
    const auto hold = [&](const char* name, double a, double b, double may) {
      const bool near = std::abs(a - b) <= may;
      far += !near;
      std::cout << fmt::format("{},{},{:.5g},{:.5g},{:.4g},{}\n", seed, name, a, b, may,
                               near ? "holds" : "differs");
    };
    const auto part = [](auto of, auto all) { return all ? double(of) / double(all) : 0; };
    hold("in_time", part(emulated.inTime, emulated.asked), part(real.inTime, real.asked), kPartMay);
    hold("late", part(emulated.late, emulated.asked), part(real.late, real.asked), kPartMay);
    hold("failed", part(emulated.failed, emulated.asked), part(real.failed, real.asked), kPartMay);
    hold("pushed_back", part(emulated.rejected, emulated.tries), part(real.rejected, real.tries), kPartMay);
    const double tries = part(emulated.tries, emulated.asked),
                 calls = part(emulated.attempts, emulated.tries);
    hold("tries", tries, part(real.tries, real.asked), kRatioMay * tries);
    hold("call_outs", calls, part(real.attempts, real.tries), kRatioMay * calls);
    hold("units_sent", emulated.unitsSent, real.unitsSent, kRatioMay * emulated.unitsSent);
    const double p50 = 1e3 * emulated.latency.within(0.5), p99 = 1e3 * emulated.latency.within(0.99);
    hold("p50_ms", p50, 1e3 * real.latency.within(0.5), kP50May);
    hold("p99_ms", p99, 1e3 * real.latency.within(0.99), std::max(kP99May, kP99Ratio * p99));
  }
  return far > 0 ? 1 : 0;
}

}  // namespace
}  // namespace merlinbridge::test_services

int main(int argc, char** argv) {
  CLI::App app{
      "merlinbridge_emulator_validation: one scenario in the emulator, and on sockets with the real daemon"};
  std::string file, seeds = "1,2,3", program = "build/merlinbridge";
  app.add_option("scenario", file, "a scenario without faults")->required();
  app.add_option("--seeds", seeds, "as 1,2,3")->capture_default_str();
  app.add_option("--program", program, "the daemon")->capture_default_str();
  app.footer("Exit codes: 0 all figures hold, 1 some differ, 2 nothing was played.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  try {
    return merlinbridge::test_services::hold(file, seeds, program);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
}
