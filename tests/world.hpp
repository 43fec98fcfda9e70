#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/server.hpp"
#include "policy_api/decision_engine.hpp"

// A small world round some gateways, and a slow, plain model of the five rules that judges all they do.
namespace merlinbridge::testing {

using namespace std::chrono_literals;

inline PolicySettings plainSettings(std::uint32_t gateways = 3) {
  PolicySettings t{};
  t.methods = {{Repeat::idempotent, Group::all, 0ns, 600ms, 1},
               {Repeat::deduplicated, Group::all, 2s, 500ms, 5},
               {Repeat::deduplicated, Group::zone, 100ms, 500ms, 2},
               {Repeat::nonIdempotent, Group::all, 2s, 500ms, 3}};
  t.plans = {{4, 12, 0, 0, 0, 0, 1}, {0, 0, 2, 0, 0, 0, 1}, {20, 30, 0, 40, 60, 8, 1.5}};
  t.gateways = gateways;
  t.counter = true, t.counterTimeout = 50ms, t.maxUnits = 4;
  t.allowCancel = t.allowRetryAfter = true;
  t.maxAttempts = 5, t.maxRetryAfter = 1s, t.connectTimeout = 250ms;
  t.startCapacity = 0.16, t.overloadMultiple = 3, t.slowStartTime = 10s, t.overloadWindow = 2s;
  return t;
}

class World {
 public:
  // What befalls the attempts and counts from now on; the chances may be set at any time.
  struct Chances {
    double lost = 0, error = 0, mute = 0, refused = 0, countLost = 0, countSlow = 0;
  } chances;
  struct Host {
    ZoneId zone{};
    std::optional<TimePoint> started;
    bool serving = true;
    double perSecond = 60;  // units, when warm
    Duration service = 60ms;
    std::deque<std::pair<TimePoint, double>> sent;
    bool mute = false, unreachable = false;
    int out = 0, taken = 0;
    std::optional<std::uint32_t> failsMethod, refusesPlan;
    LoadReport load{};
  };
  struct Try {
    Request asked;
    std::uint32_t gateway = 0;
    int finals = 0, outNow = 0;
    bool counted = false, served = false, rejected = false;
    TimePoint cameAt{}, endedAt{};
    std::vector<std::pair<HostId, TimePoint>> mayHaveRun;
    std::map<std::uint32_t, HostId> out;
    std::uint32_t attempts = 0;
  };

  World(PolicySettings t, std::uint64_t seed) : settings(std::move(t)), random_(static_cast<unsigned>(seed)) {
    for (std::uint32_t h = 0; h < 6; ++h)
      hosts.push_back({{h % 3}, {}, true, 60, 60ms, {}, false, false, 0, 0, {}, {}, {}});
    for (std::uint32_t g = 0; g < settings.gateways; ++g) {
      nodes_.emplace_back();
      start(g);
    }
  }

  void at(TimePoint when, std::function<void()> what) {
    events_.emplace(std::pair(when, ++order_), std::move(what));
  }
  void runUntil(TimePoint end) {
    for (int still = 0; !events_.empty() && events_.begin()->first.first <= end;) {
      const auto node = events_.extract(events_.begin());
      still = node.key().first > now ? 0 : still + 1;
      if (still > 100'000) throw std::runtime_error("timers due at once, over and over");
      now = std::max(now, node.key().first);
      node.mapped()();
    }
    now = end;
  }
  void runFor(Duration span) { runUntil(now + span); }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }

  void start(std::uint32_t g) {
    Node& n = nodes_[g];
    n.out = std::make_unique<Way>(*this, g, ++lives_);
    n.gateway = std::make_unique<DecisionEngine>(settings, random_(), now, *n.out);
    n.gateway->allHostsUpdated(now, lines());
  }
  void kill(std::uint32_t g) {
    for (auto& [id, t] : tries)
      if (t.gateway == g) t.finals = std::max(t.finals, 1), t.gateway = 99;
    nodes_[g].gateway.reset();
  }
  bool alive(std::uint32_t g) const { return nodes_[g].gateway != nullptr; }
  void updateHosts() {
    for (Node& n : nodes_)
      if (n.gateway) n.gateway->hostsUpdated(now, lines());
  }
  Try& ask(std::uint32_t g, std::uint64_t customer, std::uint32_t plan, std::uint32_t method, double units,
           Duration timeout = 2s) {
    const RequestId id{++lastRequest_};
    Try& t = tries[id.value];
    t.asked = {id, {customer}, {plan}, {method}, now + timeout, units, settings.gateways};
    t.gateway = g;
    t.cameAt = now;
    at(now + timeout + 16ms, [this, id] {
      if (tries[id.value].finals == 0) blame("a request was not answered in time");
    });
    nodes_[g].gateway->requestArrived(now, t.asked);
    return t;
  }
  // Each gateway is asked for one request every 10 ms, for 40 customers in turn.
  void load(int steps) {
    for (int step = 0; step < steps; ++step) {
      runFor(10ms);
      for (std::uint32_t g = 0; g < settings.gateways; ++g) ask(g, 100 + step % 40, 0, 0, 1);
    }
  }
  int served() const {
    return static_cast<int>(
        std::count_if(tries.begin(), tries.end(), [](auto& t) { return t.second.served; }));
  }

  PolicySettings settings;
  TimePoint now{1000s};
  std::vector<Host> hosts;
  std::map<std::uint64_t, Try> tries;
  std::map<std::string, double> counts;
  std::set<std::string> broken;  // the rules that were broken, and how
  std::vector<EngineEvent> events;
  int countCalls = 0;

 private:
  struct Way;
  struct Node {
    std::unique_ptr<Way> out;
    std::unique_ptr<DecisionEngine> gateway;
  };
  struct Ceiling {
    double level;
    TimePoint at;
  };

  void blame(const std::string& how) { broken.insert(how); }
  std::vector<HostUpdate> lines() const {
    std::vector<HostUpdate> all;
    for (std::uint32_t h = 0; h < hosts.size(); ++h)
      all.push_back({{h}, hosts[h].zone, {hosts[h].zone.value}, {0}, hosts[h].serving, 1, hosts[h].started});
    return all;
  }
  const Method& methodOf(const Try& t) const { return settings.methods[t.asked.method.value]; }

  void judgeAttempt(Try& t, HostId to, TimePoint writtenBy) {
    const Method& m = methodOf(t);
    Host& host = hosts[to.value];
    if (t.finals > 0) blame("an attempt after the final answer");
    if (t.outNow > 0 && !settings.allowHedging) blame("two attempts out at once");
    if (t.attempts >= settings.maxAttempts) blame("too many attempts");
    if (!t.mayHaveRun.empty() && m.repeat == Repeat::nonIdempotent) blame("a second effect");
    if (m.repeat == Repeat::deduplicated)
      for (const auto& [ranAt, when] : t.mayHaveRun) {
        if (m.group == Group::zone && hosts[ranAt.value].zone != host.zone)
          blame("a repeat outside the group");
        if (now > when + m.window) blame("a repeat after the window");
        if (writtenBy > when + m.window) blame("a repeat that may be written after the window");
      }
    if (!host.serving) blame("an attempt to a host that drains or is gone");
    if (t.attempts == 0) drawCeiling(t);
    if (!host.started) return;
    const double warm = std::min(1.0, seconds(now - *host.started) / seconds(settings.slowStartTime));
    host.sent.emplace_back(now, t.asked.units);
    while (host.sent.front().first + settings.overloadWindow < now) host.sent.pop_front();
    double work = 0;
    for (const auto& [when, units] : host.sent) work += units;
    const double capacity = host.perSecond * (settings.startCapacity + (1 - settings.startCapacity) * warm);
    if (work > settings.overloadMultiple * capacity * seconds(settings.overloadWindow))
      blame("a cold host was pushed over");
  }
  void drawCeiling(const Try& t) {
    const Plan& p = settings.plans[t.asked.plan.value];
    if (p.ceilingRate <= 0) return;
    auto& c = ceilings_.try_emplace(t.asked.customer.value, Ceiling{p.ceilingBurst, now}).first->second;
    c.level = std::min(p.ceilingBurst, c.level + p.ceilingRate * seconds(now - c.at)) - t.asked.units;
    c.at = now;
    if (c.level < -p.ceilingSlack - 1e-6) blame("a ceiling was passed");
  }
  void judgeFinal(Try& t, bool push) {
    const Method& m = methodOf(t);
    if (++t.finals > 1) blame("two final answers");
    t.endedAt = now;
    t.rejected = push;
    const bool mayRun = !t.mayHaveRun.empty() || t.outNow > 0;
    if (push && mayRun &&
        (m.repeat == Repeat::nonIdempotent || (m.repeat == Repeat::deduplicated && m.group != Group::all)))
      blame("a rejection though it may have run");
  }

  void end(std::uint32_t g, std::uint64_t life, RequestId requestId, std::uint32_t no, HostId host,
           Outcome outcome, Duration took) {
    Try& t = tries[requestId.value];
    if (t.out.contains(no)) --hosts[host.value].out;
    if (!nodes_[g].gateway || nodes_[g].out->life != life || !t.out.erase(no)) return;
    --t.outNow;
    const bool proven = outcome == Outcome::rejected || outcome == Outcome::noConnection;
    if (!proven) t.mayHaveRun.emplace_back(host, now - took);
    if (outcome == Outcome::ok && t.finals == 0) ++t.finals, t.served = true, t.endedAt = now;
    nodes_[g].gateway->attemptEnded(now, {requestId,
                                          {no},
                                          host,
                                          outcome,
                                          t.finals > 0,
                                          took,
                                          outcome == Outcome::ok ? t.asked.units : 0,
                                          hosts[host.value].load});
  }

  struct Way final : DecisionSink {
    Way(World& world, std::uint32_t number, std::uint64_t lifeNo) : w(world), g(number), life(lifeNo) {}
    void startAttempt(RequestId requestId, HostId host, AttemptDeadline deadline) override {
      Try& t = w.tries[requestId.value];
      w.judgeAttempt(t, host, deadline.writeBy);
      const std::uint32_t no = t.attempts++;
      ++t.outNow;
      t.out[no] = host;
      Outcome outcome = Outcome::ok;
      Duration took = w.hosts[host.value].service;
      const World::Host& at = w.hosts[host.value];
      if (at.unreachable)
        outcome = Outcome::noConnection, took = 1ms;
      else if (at.refusesPlan == t.asked.plan.value || w.chance(w.chances.refused))
        outcome = Outcome::rejected, took = 2ms;
      else if (w.chance(w.chances.lost))
        outcome = w.chance(0.5) ? Outcome::lost : Outcome::noConnection;
      else if (at.failsMethod == t.asked.method.value || w.chance(w.chances.error))
        outcome = Outcome::error;
      ++w.hosts[host.value].out, ++w.hosts[host.value].taken;
      if (w.hosts[host.value].mute || w.chance(w.chances.mute) || w.now + took > deadline.abandonAt)
        outcome = Outcome::noAnswer, took = deadline.abandonAt - w.now;
      w.at(w.now + took, [requestId, no, host, outcome, took, &world = w, gw = g, l = life] {
        world.end(gw, l, requestId, no, host, outcome, took);
      });
    }
    void cancel(RequestId requestId, AttemptNumber no) override {
      const Try& t = w.tries[requestId.value];
      if (!t.out.contains(no.value)) return;
      w.at(w.now, [&world = w, gw = g, l = life, requestId, no, host = t.out.at(no.value)] {
        world.end(gw, l, requestId, no.value, host, Outcome::cancelled, 1ms);
      });
    }
    void reject(RequestId requestId, Duration) override { w.judgeFinal(w.tries[requestId.value], true); }
    void fail(RequestId requestId) override { w.judgeFinal(w.tries[requestId.value], false); }
    void addToCounter(const CounterKey& name, double units, Duration) override {
      ++w.countCalls;
      const bool slow = w.chance(w.chances.countSlow), gone = w.chance(w.chances.countLost);
      const auto key = std::to_string(name.customer.value) + '.' + std::to_string(name.slot.value);
      double total = 0;
      if (!gone) total = w.counts[key] += units;
      w.at(w.now + (gone || slow ? w.settings.counterTimeout : 2ms),
           [&world = w, gw = g, l = life, name, total, bad = gone || slow] {
             if (!world.nodes_[gw].gateway || world.nodes_[gw].out->life != l) return;
             world.nodes_[gw].gateway->counterCallEnded(
                 world.now, name, bad ? CounterCallOutcome::unknown : CounterCallOutcome::ok, total, 2ms);
           });
    }
    void wakeAt(TimePoint when, TimerId timer) override {
      w.at(when, [&world = w, gw = g, l = life, timer] {
        if (world.nodes_[gw].gateway && world.nodes_[gw].out->life == l)
          world.nodes_[gw].gateway->timerFired(world.now, timer);
      });
    }
    void report(EngineEvent event) override { w.events.push_back(event); }
    World& w;
    std::uint32_t g;
    std::uint64_t life;
  };

  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> events_;
  std::uint64_t order_ = 0, lives_ = 0, lastRequest_ = 0;
  std::ranlux24_base random_;
  std::deque<Node> nodes_;
  std::map<std::uint64_t, Ceiling> ceilings_;
};

// ---- the remote ends of the daemon's sockets ----

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in at{};
  at.sin_family = AF_INET, at.sin_port = htons(port), at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

class Peer {
 public:
  explicit Peer(int fd) : fd_(fd) { fcntl(fd_, F_SETFL, O_NONBLOCK); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;
  Peer(Peer&& other) noexcept
      : got(std::move(other.got)),
        over(other.over),
        wasReset(other.wasReset),
        fd_(std::exchange(other.fd_, -1)) {}
  Peer& operator=(Peer&& other) noexcept {
    std::swap(fd_, other.fd_), std::swap(got, other.got), std::swap(over, other.over);
    std::swap(wasReset, other.wasReset);
    return *this;
  }
  ~Peer() { close(); }
  static Peer to(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    (void)::connect(fd, reinterpret_cast<const sockaddr*>(&at),
                    sizeof at);  // its end shows at the first write
    return Peer(fd);
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // As when the process dies with something unread: what comes after it is no end, but a reset.
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void shutdownSend() const { ::shutdown(fd_, SHUT_WR); }
  // A reset has come, be it behind an end that was read already.
  bool resetCame() const {
    pollfd at{fd_, 0, 0};
    return fd_ >= 0 && ::poll(&at, 1, 0) > 0 && (at.revents & (POLLERR | POLLHUP)) != 0;
  }
  std::size_t trySend(std::string_view text) const {
    return static_cast<std::size_t>(
        std::max<ssize_t>(0, ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL)));
  }
  void send(std::string_view text) const { (void)!::send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // All that has come; `over` once the other end has closed.
  std::string& read() {
    char bytes[4096];
    for (ssize_t n = 0; fd_ >= 0 && !over && (n = ::read(fd_, bytes, sizeof bytes)) != -1;)
      n > 0 ? void(got.append(bytes, static_cast<std::size_t>(n))) : void(over = true);
    if (fd_ >= 0 && !over && errno != EAGAIN) over = wasReset = true;
    return got;
  }
  bool holds(std::string_view text) { return read().find(text) != std::string::npos; }
  bool ended() { return read(), over; }
  std::string got;
  bool over = false, wasReset = false;

 private:
  int fd_;
};

class PeerListener {
 public:
  // DecisionSink 0: any that is free.
  explicit PeerListener(std::uint16_t wanted = 0) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int yes = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in at = loopback(wanted);
    socklen_t size = sizeof at;
    (void)::bind(fd_, reinterpret_cast<sockaddr*>(&at), size);
    ::listen(fd_, 64);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;
  ~PeerListener() { close(); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  bool accept(std::optional<Peer>& into) const {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) into.emplace(fd);
    return fd >= 0;
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
  void again(int backlog) const { ::listen(fd_, backlog); }
  std::uint16_t port;

 private:
  int fd_;
};

// Where new connections neither come up nor are refused: its one place is taken.
class Unreachable : public PeerListener {
 public:
  Unreachable() : taken_((again(0), Peer::to(port))) {}
  // From here on they come up, once their end asks again.
  void open() {
    std::optional<Peer> first;
    accept(first);
    again(64);
  }

 private:
  Peer taken_;
};

struct ManualClock final : net::Clock {
  TimePoint now() const override { return at; }
  TimePoint at{1'700'000'000s};
};

inline std::string hostLine(std::uint16_t port, const std::string& name, const std::string& state) {
  return R"({"instanceId":")" + name + R"(","hostPort":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"a","machineType":"m","cell":0,"lifecycle":")" + state + R"(","startedAtMs":0})";
}

// A whole file of configuration.
inline std::string configText(const std::string& listen, const std::string& discovery,
                              const std::string& counter, const std::string& hostList, std::size_t sockets) {
  return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery +
         R"(","seed":"8c1f","limits":{"sockets":)" + std::to_string(sockets) + R"(},"counter":")" + counter +
         R"(","known":{"generation":41,"reset":true,"instances":[)" + hostList +
         R"(]},"settings":{"siblings":1,"requestClasses":[)"
         R"({"name":"look","effect":"free","promise":600000,"hardLimit":2000000},)"
         R"({"name":"pay","effect":"single_shot","promise":600000,"hardLimit":2000000},)"
         R"({"name":"save","effect":"guarded","group":"all","window":150000,"promise":600000,"hardLimit":2000000}],)"
         R"("tariffs":[{"name":"free"},{"name":"metered","unitsPerS":5,"storeSize":20}],)"
         R"("familyInfo":{"hasCounter":true,"countLimit":50000,"largest":8},)"
         R"("limits":{"connectTimeout":250000,"connIdle":30000000,"cancel":true,"tryLimit":5,"retryAfter":true,)"
         R"("maxRetryAfter":1000000},"rules":{"startCapacity":0.2,"tipMultiple":3,"cold":1000000,)"
         R"("fall":1000000,"answerSlack":16000}}})";
}

// A whole gateway on loopback, with a clock set by hand; the test plays everybody else.
class LoopbackGateway {
 public:
  explicit LoopbackGateway(std::size_t sockets = 128, const std::string& hostList = "",
                           const std::string& was = "", const std::string& is = "")
      : sockets_(sockets),
        loop(log, clock),
        server(loop, config::readGatewayConfig(replaced(config(hostList), was, is))) {
    server.serve();
    loop.endTurn();
  }
  bool until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 5s;  // only where the test fails
    while (std::chrono::steady_clock::now() < end) {
      loop.io.poll();
      loop.io.restart();
      if (done()) return true;
    }
    return false;
  }
  // Turn by turn: what is ready is handled one at a time, and then the test may come in between.
  bool step(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (std::chrono::steady_clock::now() < end) {
      if (done()) return true;
      loop.io.poll_one();
      loop.io.restart();
    }
    return false;
  }
  void settle() {
    int turns = 0;
    until([&] { return ++turns > 200; });
  }
  void pass(Duration span) {
    for (const TimePoint end = clock.at + span; clock.at < end;) {
      clock.at = std::min(end, clock.at + 10ms);
      loop.deadlines.run(clock.at);
      loop.endTurn();
      loop.io.poll();
      loop.io.restart();
    }
  }
  Peer client() { return Peer::to(listenPort); }
  static std::string request(const std::string& kind, const std::string& body = "",
                             const std::string& more = "", int ms = 900) {
    return (body.empty() ? "GET /" : "POST /") + kind +
           "/a?b=c HTTP/1.1\r\nHost: x\r\nReq-Id: 00ff\r\nReq-Kind: " + kind +
           "\r\nPlan: free\r\nAccount: 0000000000000007\r\nReq-Deadline-Ms: " + std::to_string(ms) +
           "\r\nQuota-Info: units=1,spread=1,first=0\r\n" + more +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  }
  static std::string ok(const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  std::string config(const std::string& hostList) {
    return configText("127.0.0.1:" + std::to_string(listenPort), discovery.address(), counter.address(),
                      hostList.empty() ? hostLine(host.port, "h1", "in_service") : hostList, sockets_);
  }
  // Settings that differ in one place.
  static std::string replaced(std::string text, const std::string& was, const std::string& is) {
    return was.empty() ? text : text.replace(text.find(was), was.size(), is);
  }
  // A request of a customer whose plan has a quota.
  static std::string metered(int customer) {
    std::string message = request("look");
    message.replace(message.find("Plan: free"), 10, "Plan: metered");
    return message.replace(message.find("0000000000000007"), 16,
                           "000000000000000" + std::to_string(customer));
  }

 private:
  static std::uint16_t freePort() { return PeerListener().port; }
  std::size_t sockets_;

 public:
  ManualClock clock;
  std::ostringstream lines;
  Log log{lines, Level::info};
  PeerListener host, counter, discovery;
  std::uint16_t listenPort = freePort();
  net::EventLoop loop;
  net::Server server;
};

}  // namespace merlinbridge::testing
