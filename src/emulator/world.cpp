// The world that gateways stand among, played by virtual time: clients, the front that spreads them, the
// network, hosts, discovery and the counter. It decides nothing for a gateway, and a gateway sees of it only
// what it would see on sockets.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "config/json_stream_splitter.hpp"
#include "emulator/event_queue.hpp"
#include "emulator/metrics.hpp"
#include "emulator/random_stream.hpp"

namespace merlinbridge::emulator {
namespace {

using core::SlotRef;

constexpr TimePoint kBegin{std::chrono::seconds(1'700'000'000)};
// The protocol's: so long after it is told to end a gateway is still sent new requests, and what of its time
// is left.
constexpr Duration kStillComing = std::chrono::milliseconds(700), kLongestKept = std::chrono::seconds(3),
                   kSpared = std::chrono::milliseconds(150);
constexpr Duration kSentAgain = std::chrono::milliseconds(200);  // what a lost message comes late by
constexpr double kUneven =
    1.5;  // of an even draw, the power: a customer's first gateways see more than its last
constexpr double kLateWorth = 0.5;  // of an answer after the soft deadline
constexpr int kOdd = 2;             // refused agents ask again after up to so many beats
constexpr Duration kBeat = std::chrono::seconds(2);

struct World;

struct EmulatedHost {
  enum class State { up, dead, gone };
  std::uint32_t zone;
  std::int64_t cell;
  std::string name;
  TimePoint started;
  bool cold;  // its start is told
  State state = State::up;
  bool serving = true;
  std::uint64_t incarnation = 1;
  int running = 0, connections = 0;
  std::deque<SlotRef> queue{};
  double doneLately = 0;
  TimePoint doneAt{};
};

struct Job {
  std::uint32_t host;
  std::uint64_t hostIncarnation;
  std::uint32_t gateway;
  std::uint64_t gatewayIncarnation;
  SlotRef attempt;
  ClientAttemptId requestId;
  std::uint32_t no;
  Duration work;
  bool running = false;
};

struct Attempt {
  RequestId requestId;
  AttemptNumber no;
  ClientAttemptId clientAttemptId;
  std::uint32_t host;
  std::uint64_t hostIncarnation;
  bool fresh;                    // on a new connection
  bool connected = false;        // which has come up
  std::optional<SlotRef> job{};  // at the host
};

struct ClientRequest {
  std::uint64_t customer;
  std::uint32_t plan, method;
  double units;
  TimePoint askedAt, deadline;
  int triesLeft, triesMade = 0;
  SlotRef current{};
};

struct ClientAttempt {
  SlotRef clientRequest;
  ClientAttemptId id;
  std::uint32_t gateway;
  std::uint64_t gatewayIncarnation;
  bool inside = false;
};

struct Call {
  CounterKey name;
  TimePoint madeAt;
};

// One gateway: the gateway inside and, round it, what the sockets would be.
struct GatewayProcess final : core::Transport {
  enum class State { down, ready, leaving };

  GatewayProcess(World& world, std::uint32_t number, std::uint32_t z) : w(world), no(number), zone(z) {}

  void answerOk(SlotRef client, std::string_view, std::string_view) override;
  void answerRejected(SlotRef client, Duration retryAfter) override;
  void answerFailed(SlotRef client) override;
  std::variant<SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                              AttemptDeadline) override;
  bool closeAttempt(SlotRef client, AttemptNumber, SlotRef link) override;
  void addToCounter(const CounterKey&, double units, Duration keepFor) override;
  void hostUnavailable(HostId host) override;
  void report(EngineEvent) override {}
  void endpointTableFull(std::string_view) override {}

  World& w;
  std::uint32_t no, zone;
  State state = State::down;
  std::uint64_t incarnation = 0;
  bool listed = true;  // the clients' front sends to it
  core::DeadlineQueue deadlines;
  std::unique_ptr<EmulatedGateway> gateway;
  TimePoint armed = TimePoint::max();
  core::SlotTable<Attempt> attempts;
  core::SlotTable<Call> calls;
  std::map<std::uint32_t, std::deque<TimePoint>> resting;  // connections by machine, and since when
  std::uint64_t told = 0;                                  // generation
  bool feeding = false;
  int refusals = 0;
  std::map<std::uint32_t, std::uint64_t> knownIncarnations;  // of machines: the start that it was told of
};

struct Active {
  const Fault* fault;
  std::vector<char> marked;  // gateways or hosts or zones that it concerns
  std::uint32_t zone = 0;
  TimePoint ends{};
};

struct World {
  World(const Scenario& scenario, std::uint64_t s, Policy p, const GatewayFactory& m)
      : sc(scenario), seed(s), policy(p), maker(m), events(kBegin), checker(scenario) {}

  // ---- chance, faults, the network ----

  double product(FaultKind kind) const {
    double all = 1;
    for (const auto& [key, a] : active)
      if (a.fault->kind == kind) all *= a.fault->factor;
    return all;
  }
  template <class Holds>
  bool any(FaultKind kind, Holds holds) const {
    return std::any_of(active.begin(), active.end(),
                       [&](const auto& at) { return at.second.fault->kind == kind && holds(at.second); });
  }
  bool marked(FaultKind kind, std::uint32_t which) const {
    return any(kind, [which](const Active& a) { return which < a.marked.size() && a.marked[which]; });
  }
  Duration delay() {
    double factor = 1, lost = 1 - sc.loss;
    for (const auto& [key, a] : active) {
      if (a.fault->kind == FaultKind::netSlow) factor *= a.fault->factor;
      if (a.fault->kind == FaultKind::netLoss) lost *= 1 - std::min(1.0, a.fault->factor);
    }
    Duration span = scaled(sc.delay, factor) + scaled(sc.jitter, network.uniform01() * factor);
    for (int n = 0; lost < 1 && n < 6 && network.bernoulli(1 - lost); ++n) span += kSentAgain * (1 << n);
    return span;
  }
  bool cut(std::uint32_t zoneA, std::uint32_t zoneB) const {
    return zoneA != zoneB &&
           any(FaultKind::zoneCut, [=](const Active& a) { return a.zone == zoneA || a.zone == zoneB; });
  }
  bool silent(std::uint32_t host) const { return marked(FaultKind::hostVanish, host); }
  void print(std::uint64_t what) {
    metrics.print =
        (metrics.print ^ what ^ static_cast<std::uint64_t>(events.now().time_since_epoch().count())) *
        1099511628211u;
  }
  Metrics::Second& second() {
    const auto at = static_cast<std::size_t>(std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::seconds>(events.now() - kBegin).count()));
    if (metrics.seconds.size() <= at) metrics.seconds.resize(at + 1);
    return metrics.seconds[at];
  }

  // ---- clients ----

  void drawCustomers() {
    double sum = 0;
    weights.reserve(sc.customers);
    for (std::uint32_t c = 0; c < sc.customers; ++c)
      weights.push_back(sum += std::pow(double(c) + 1, -sc.skew));
    double methods = 0, plans = 0;
    for (const ScenarioMethod& m : sc.methods) methodWeights.push_back(methods += m.share);
    for (const ScenarioPlan& p : sc.plans) planWeights.push_back(plans += p.share);
  }
  static std::size_t drawFrom(const std::vector<double>& sums, double even) {
    const auto at = std::upper_bound(sums.begin(), sums.end(), even * sums.back());
    return std::min(sums.size() - 1, static_cast<std::size_t>(at - sums.begin()));
  }
  void nextArrival() {
    const double rate = sc.rate * product(FaultKind::loadBurst);
    // Where nobody asks just now, it is looked again a little later.
    const TimePoint at = events.now() + (rate > 0 ? durationOf(std::min(1e4, arrivals.exponential(1 / rate)))
                                                  : Duration(std::chrono::milliseconds(100)));
    if (at > kBegin + sc.length) return;
    events.at(at, [this, rate] {
      if (rate > 0) arrive();
      nextArrival();
    });
  }
  void arrive() {
    const auto customer = static_cast<std::uint64_t>(drawFrom(weights, arrivals.uniform01())) + 1;
    const auto method = static_cast<std::uint32_t>(drawFrom(methodWeights, arrivals.uniform01()));
    const double mixed = double((customer * 0x9e3779b97f4a7c15u) >> 11) * 0x1p-53;
    const auto plan = static_cast<std::uint32_t>(drawFrom(planWeights, mixed));
    const double units = sc.units > 0 ? std::clamp(std::round(arrivals.exponential(sc.units)),
                                                   std::min(1.0, sc.units), std::max(1.0, 4 * sc.units))
                                      : 0;
    const TimePoint now = events.now();
    const SlotRef clientRequest = clientRequests.add(
        ClientRequest{customer, plan, method, units, now, now + sc.methods[method].deadline, sc.tries});
    ++metrics.asked, ++second().asked;
    metrics.worthAsked += worthOf(*clientRequests.find(clientRequest));
    const bool leaves = arrivals.bernoulli(sc.leaves);
    const TimePoint until =
        leaves ? now + scaled(sc.methods[method].deadline, arrivals.uniform01())
               : now + sc.methods[method].deadline + 2 * sc.answerSlack + 2 * (sc.delay + sc.jitter);
    events.at(until, [this, clientRequest, leaves] { stopWaiting(clientRequest, leaves); });
    ask(clientRequest);
  }
  double worthOf(const ClientRequest& clientRequest) const {
    return sc.methods[clientRequest.method].utility * sc.plans[clientRequest.plan].plan.price *
           clientRequest.units;
  }
  void ask(SlotRef ref) {
    ClientRequest& clientRequest = *clientRequests.find(ref);
    if (clientRequest.triesLeft-- <= 0 || events.now() >= clientRequest.deadline) return fail(ref);
    ++clientRequest.triesMade, ++metrics.tries;
    // Uneven, as clients come: the first gateway of a customer's set sees the most.
    const std::uint32_t spread = std::min(sc.spread, sc.gateways);
    const auto first =
        static_cast<std::uint32_t>((clientRequest.customer * 0xff51afd7ed558ccdu >> 33) % sc.gateways);
    auto at = static_cast<std::uint32_t>(spread * std::pow(choices.uniform01(), kUneven));
    std::uint32_t g = (first + at) % sc.gateways;
    for (std::uint32_t n = 0; n < spread && !processes[g].listed; ++n)
      g = (first + ++at % spread) % sc.gateways;
    const ClientAttemptId id{++lastTry};
    clientRequest.current = clientAttempts.add(ClientAttempt{ref, id, g, processes[g].incarnation});
    events.after(delay(), [this, t = clientRequest.current] { reachGateway(t); });
  }
  void reachGateway(SlotRef ref) {
    ClientAttempt* const t = clientAttempts.find(ref);
    if (!t) return;
    GatewayProcess& process = processes[t->gateway];
    t->gatewayIncarnation = process.incarnation;
    if (process.state == GatewayProcess::State::down) {
      ++metrics.unreached;
      return events.after(delay(), [this, ref] { again(ref, true, Duration{0}); });
    }
    const ClientRequest& clientRequest = *clientRequests.find(t->clientRequest);
    checker.taken(events.now(), t->id,
                  {{t->gateway},
                   clientRequest.method,
                   clientRequest.plan,
                   clientRequest.customer,
                   clientRequest.units,
                   clientRequest.deadline});
    metrics.mostInFlight = std::max(metrics.mostInFlight, checker.held());
    print(t->id.value);
    Request a{{},
              {clientRequest.customer},
              {clientRequest.plan},
              {clientRequest.method},
              clientRequest.deadline,
              clientRequest.units,
              std::min(sc.spread, sc.gateways)};
    process.gateway->requestArrived(events.now(), ref, a);
    arm(process);
  }
  // This try is over without a result; may the client ask once more?
  void again(SlotRef ref, bool may, Duration advice) {
    ClientAttempt* const t = clientAttempts.find(ref);
    if (!t) return;
    const SlotRef clientRequestRef = t->clientRequest;
    clientAttempts.drop(ref);
    ClientRequest* const clientRequest = clientRequests.find(clientRequestRef);
    if (!clientRequest) return;
    clientRequest->current = {};
    if (!may) return fail(clientRequestRef);
    Duration wait = scaled(
        sc.wait, (0.5 + choices.uniform01()) * double(1 << std::min(10, clientRequest->triesMade - 1)));
    if (advice > Duration{0} && choices.bernoulli(sc.heedsAdvice)) wait = std::max(wait, advice);
    if (events.now() + wait >= clientRequest->deadline || clientRequest->triesLeft <= 0)
      return fail(clientRequestRef);
    events.after(wait, [this, clientRequestRef] {
      if (clientRequests.find(clientRequestRef)) ask(clientRequestRef);
    });
  }
  bool mayAskAgain(const ClientRequest& clientRequest) const {
    const ScenarioMethod& m = sc.methods[clientRequest.method];
    return m.repeat == Repeat::idempotent || (m.repeat == Repeat::deduplicated && m.group == Group::all &&
                                              events.now() < clientRequest.askedAt + m.window);
  }
  void fail(SlotRef ref) {
    const ClientRequest* const clientRequest = clientRequests.find(ref);
    if (!clientRequest) return;
    ++metrics.failed, ++second().failed;
    print(3);
    clientRequests.drop(ref);
  }
  void stopWaiting(SlotRef ref, bool early) {
    ClientRequest* const clientRequest = clientRequests.find(ref);
    if (!clientRequest) return;
    const SlotRef current = clientRequest->current;
    early ? void(++metrics.left) : void((++metrics.failed, ++second().failed));
    clientRequests.drop(ref);
    ClientAttempt* const t = clientAttempts.find(current);
    if (!t) return;
    GatewayProcess& process = processes[t->gateway];
    const ClientAttemptId id = t->id;
    const std::uint64_t incarnation = t->gatewayIncarnation;
    events.after(delay(), [this, current, id, incarnation, &process] {
      if (!clientAttempts.find(current)) return;
      if (process.incarnation == incarnation && process.state != GatewayProcess::State::down) {
        checker.clientLeft(events.now(), id);
        process.gateway->clientLeft(events.now(), current);
        arm(process);
      }
      clientAttempts.drop(current);
    });
  }
  void answerCame(SlotRef ref, Answer how, Duration advice) {
    ClientAttempt* const t = clientAttempts.find(ref);
    if (!t) return;
    const SlotRef clientRequestRef = t->clientRequest;
    const ClientRequest* const clientRequest = clientRequests.find(clientRequestRef);
    if (!clientRequest) return clientAttempts.drop(ref);
    print(10 + static_cast<std::uint64_t>(how));
    if (how != Answer::ok) {
      how == Answer::rejected ? void((++metrics.rejected, ++second().rejected))
                              : void(++metrics.failedAnswers);
      return again(ref, how == Answer::rejected || mayAskAgain(*clientRequest), advice);
    }
    const TimePoint now = events.now();
    const bool inTime = now <= clientRequest->askedAt + sc.methods[clientRequest->method].soft;
    inTime ? void((++metrics.inTime, ++second().inTime)) : void((++metrics.late, ++second().late));
    if (t->inside) metrics.worth += worthOf(*clientRequest) * (inTime ? 1 : kLateWorth);
    metrics.latency.add(now - clientRequest->askedAt);
    clientAttempts.drop(ref);
    clientRequests.drop(clientRequestRef);
  }

  // ---- gateways ----

  void arm(GatewayProcess& process) {
    const TimePoint next = process.deadlines.nextDueAt();
    if (process.state == GatewayProcess::State::down || next >= process.armed) return;
    process.armed = next;
    events.at(next, [this, &process, incarnation = process.incarnation, next] {
      if (process.incarnation != incarnation || process.state == GatewayProcess::State::down ||
          process.armed != next)
        return;
      process.armed = TimePoint::max();
      process.deadlines.run(events.now());
      arm(process);
    });
  }
  void startProcess(GatewayProcess& process) {
    ++process.incarnation;
    process.state = GatewayProcess::State::ready;
    process.armed = TimePoint::max(), process.told = generation, process.refusals = 0,
    process.feeding = false;
    process.deadlines = {};
    process.attempts = {}, process.calls = {}, process.resting.clear(), process.knownIncarnations.clear();
    config::GatewayConfig o = config;
    o.seed = lives.word();
    o.known.generation = generation;
    o.known.complete = true;
    for (std::uint32_t m = 0; m < hosts.size(); ++m)
      if (hosts[m].state != EmulatedHost::State::gone) {
        o.known.entries.push_back(lineOf(m));
        tellOne(process, m);
      }
    Truth truth{[this](std::uint64_t c, std::uint32_t p, double u) {
                  return checker.wouldFit(events.now(), c, p, u);
                },
                [this](std::string_view address) { return loadOf(address); }};
    process.gateway = maker ? maker(o, events.now(), process.deadlines, process, truth)
                            : makeGateway(policy, o, events.now(), process.deadlines, process, truth);
    process.listed = true;
    feedSoon(process);
    arm(process);
  }
  void killProcess(GatewayProcess& process) {
    if (process.state == GatewayProcess::State::down) return;
    process.state = GatewayProcess::State::down;
    ++process.incarnation;
    checker.gatewayDied(events.now(), {process.no});
    print(1000 + process.no);
    // Its machine's connections are reset, its clients are told by that.
    std::vector<SlotRef> held;
    clientAttempts.each([&](SlotRef ref, ClientAttempt& t) {
      if (t.gateway == process.no && t.gatewayIncarnation + 1 == process.incarnation) held.push_back(ref);
    });
    for (const SlotRef ref : held)
      events.after(delay(), [this, ref] {
        const ClientAttempt* const t = clientAttempts.find(ref);
        if (!t) return;
        const ClientRequest* const clientRequest = clientRequests.find(t->clientRequest);
        again(ref, clientRequest && mayAskAgain(*clientRequest), Duration{0});
      });
    process.attempts.each([&](SlotRef, Attempt& a) { dropAtHost(a); });
    process.attempts = {};
    for (const auto& [m, rest] : process.resting) hosts[m].connections -= static_cast<int>(rest.size());
    process.resting.clear();
    process.gateway.reset();
    process.deadlines = {};
    events.after(sc.notice, [&process] {
      if (process.state == GatewayProcess::State::down) process.listed = false;
    });
  }
  void beginShutdown(GatewayProcess& process) {
    if (process.state != GatewayProcess::State::ready) return;
    process.state = GatewayProcess::State::leaving;
    const TimePoint by = events.now() + kStillComing + std::min(sc.longestDeadline(), kLongestKept) - kSpared;
    process.gateway->setAnswerDeadline(by);
    events.after(kStillComing / 2, [&process] { process.listed = false; });
    arm(process);
    events.after(kStillComing, [this, &process, incarnation = process.incarnation] {
      lookWhetherDone(process, incarnation);
    });
  }
  void lookWhetherDone(GatewayProcess& process, std::uint64_t incarnation) {
    if (process.incarnation != incarnation || process.state != GatewayProcess::State::leaving) return;
    if (process.gateway->unanswered() > 0)
      return events.after(kSpared / 10,
                          [this, &process, incarnation] { lookWhetherDone(process, incarnation); });
    killProcess(process);
    events.after(sc.restart, [this, &process, l = process.incarnation] {
      if (process.incarnation == l && process.state == GatewayProcess::State::down) startProcess(process);
    });
  }

  // ---- hosts ----

  config::Endpoint lineOf(std::uint32_t m) const {
    const EmulatedHost& at = hosts[m];
    return {at.name,
            std::to_string(m),
            fmt::format("z{}", at.zone),
            "m",
            at.cell,
            at.serving && at.state != EmulatedHost::State::gone,
            at.state == EmulatedHost::State::gone,
            1,
            at.cold ? at.started.time_since_epoch() : Duration{0}};
  }
  std::uint32_t addHost(std::uint32_t zone, bool cold) {
    const auto m = static_cast<std::uint32_t>(hosts.size());
    hosts.push_back({zone, static_cast<std::int64_t>(m % 8), fmt::format("h{}", m),
                     cold ? events.now() : kBegin - sc.cold - std::chrono::hours(1), cold});
    return m;
  }
  // The least share of its capacity that it has by now.
  double warmth(const EmulatedHost& m) const {
    if (sc.cold <= Duration{0}) return 1;
    return sc.startCapacity + (1 - sc.startCapacity) *
                                  std::clamp(seconds(events.now() - m.started) / seconds(sc.cold), 0.0, 1.0);
  }
  double loadOf(std::string_view address) const {
    std::uint32_t m = 0;
    std::from_chars(address.data(), address.data() + address.size(), m);
    const EmulatedHost& at = hosts[m];
    if (at.state != EmulatedHost::State::up || !at.serving || silent(m) || marked(FaultKind::hostHang, m))
      return -1;
    const double slow = marked(FaultKind::hostSlow, m) ? product(FaultKind::hostSlow) : 1;
    return (at.running + double(at.queue.size())) * slow / (sc.cores * warmth(at));
  }
  void killHost(std::uint32_t m, EmulatedHost::State state) {
    EmulatedHost& at = hosts[m];
    if (at.state != EmulatedHost::State::up) return;
    at.state = state;
    ++at.incarnation;
    at.running = 0, at.connections = 0;
    at.queue.clear();
    std::vector<SlotRef> ended;
    jobs.each([&](SlotRef ref, Job& job) {
      if (job.host == m) ended.push_back(ref);
    });
    for (const SlotRef ref : ended) {
      const Job job = *jobs.find(ref);
      jobs.drop(ref);
      endAttempt(job.gateway, job.gatewayIncarnation, job.attempt, Outcome::lost);
    }
    for (GatewayProcess& process : processes) process.resting.erase(m);
  }
  void startHost(std::uint32_t m) {
    EmulatedHost& at = hosts[m];
    if (at.state == EmulatedHost::State::gone) return;
    at.state = EmulatedHost::State::up;
    ++at.incarnation;
    at.started = events.now(), at.cold = true;
    change({m});
  }
  void reachHost(std::uint32_t g, std::uint64_t incarnation, SlotRef ref) {
    GatewayProcess& process = processes[g];
    if (process.incarnation != incarnation) return;
    Attempt* const a = process.attempts.find(ref);
    if (!a) return;  // given up on the way: the host sees no whole request
    EmulatedHost& m = hosts[a->host];
    if (cut(process.zone, m.zone) || silent(a->host)) {
      // Nothing is said. A new connection is given up by the gateway's own timeout.
      if (a->fresh)
        events.after(sc.connectTimeout, [this, g, incarnation, ref] {
          endAttempt(g, incarnation, ref, Outcome::noConnection, true);
        });
      return;
    }
    const bool full = a->fresh && m.connections >= sc.connections;
    // An old connection ends with the life of the host that it led to, be this up again or not.
    if (m.state != EmulatedHost::State::up || full || (!a->fresh && a->hostIncarnation != m.incarnation))
      return endAttempt(g, incarnation, ref, a->fresh ? Outcome::noConnection : Outcome::lost);
    if (a->fresh) ++m.connections, a->connected = true;
    const ClientRequest* clientRequest = nullptr;
    ClientAttempt* asked = nullptr;
    if (const auto at = tryOf.find(a->clientAttemptId.value); at != tryOf.end())
      asked = clientAttempts.find(at->second);
    if (asked) clientRequest = clientRequests.find(asked->clientRequest);
    const std::uint32_t method = methodOf(*a, clientRequest);
    const Duration work = scaled(sc.methods[method].work, 0.5 + works.exponential(0.5));
    const bool toldOfIt = process.knownIncarnations.contains(a->host);
    if (const auto inside = checker.reached(events.now(), a->clientAttemptId, a->no.value)) {
      second().unitsSent += clientRequest ? clientRequest->units : 0;
      if (asked) asked->inside = *inside;
      if (!*inside) second().unitsBeyond += clientRequest ? clientRequest->units : 0;
    }
    if (m.cold && checker.hostAsked(events.now(), {a->host}, m.started, work, toldOfIt)) {
      ++metrics.hostsFallen;
      print(5000 + a->host);
      const std::uint32_t fallen = a->host;
      killHost(fallen, EmulatedHost::State::dead);
      return endAttempt(g, incarnation, ref, Outcome::lost);
    }
    if (m.running >= sc.cores && m.queue.size() >= static_cast<std::size_t>(sc.room))
      return endAttempt(g, incarnation, ref, Outcome::rejected);
    const SlotRef job =
        jobs.add(Job{a->host, m.incarnation, g, incarnation, ref, a->clientAttemptId, a->no.value, work});
    a->job = job;
    m.running < sc.cores ? run(job) : void(m.queue.push_back(job));
  }
  std::uint32_t methodOf(const Attempt& a, const ClientRequest* clientRequest) const {
    if (clientRequest) return clientRequest->method;
    return static_cast<std::uint32_t>(a.clientAttemptId.value % sc.methods.size());
  }
  void run(SlotRef ref) {
    Job& job = *jobs.find(ref);
    EmulatedHost& m = hosts[job.host];
    job.running = true;
    ++m.running;
    checker.ran(events.now(), job.requestId, job.no, {job.host}, m.zone, m.cell);
    if (marked(FaultKind::hostHang, job.host)) return;
    double slow = 1 / warmth(m);
    for (const auto& [key, a] : active)
      if (a.fault->kind == FaultKind::hostSlow && job.host < a.marked.size() && a.marked[job.host])
        slow *= a.fault->factor;
    events.after(scaled(job.work, slow), [this, ref] { done(ref); });
  }
  void done(SlotRef ref) {
    const Job* const at = jobs.find(ref);
    if (!at) return;
    const Job job = *at;
    jobs.drop(ref);
    EmulatedHost& m = hosts[job.host];
    m.doneLately = m.doneLately * std::exp(-seconds(events.now() - m.doneAt)) + 1;
    m.doneAt = events.now();
    const bool err = any(FaultKind::hostErr, [&](const Active& a) {
      return job.host < a.marked.size() && a.marked[job.host] && works.bernoulli(a.fault->factor);
    });
    if (!err) checker.served(events.now(), job.requestId, job.no);
    endAttempt(job.gateway, job.gatewayIncarnation, job.attempt, err ? Outcome::error : Outcome::ok);
    next(job.host);
  }
  void next(std::uint32_t host) {
    EmulatedHost& m = hosts[host];
    --m.running;
    while (!m.queue.empty() && m.running < sc.cores) {
      const SlotRef job = m.queue.front();
      m.queue.pop_front();
      if (jobs.find(job)) run(job);
    }
  }
  // Something comes back from a host, or from the way to it, and reaches the gateway a little later.
  void endAttempt(std::uint32_t g, std::uint64_t incarnation, SlotRef ref, Outcome outcome,
                  bool atOnce = false) {
    GatewayProcess& process = processes[g];
    if (process.incarnation != incarnation) return;
    const Attempt* const a = process.attempts.find(ref);
    if (!a) return;
    const std::uint32_t host = a->host;
    if (!atOnce && (cut(process.zone, hosts[host].zone) || silent(host))) return;
    core::UpstreamResponse response{};
    const EmulatedHost& m = hosts[host];
    if (sc.reports && outcome == Outcome::ok) {
      response.load.inFlight = m.running + double(m.queue.size());
      response.load.queued = double(m.queue.size());
      response.load.answersPerSecond = m.doneLately;
    }
    const std::uint64_t hostIncarnation = m.incarnation;
    events.after(atOnce ? Duration{0} : delay(), [this, g, incarnation, ref, outcome, response,
                                                  hostIncarnation] {
      GatewayProcess& at = processes[g];
      if (at.incarnation != incarnation) return;
      Attempt* const attempt = at.attempts.find(ref);
      if (!attempt) return;
      const Attempt over = *attempt;
      at.attempts.drop(ref);
      const bool proven = outcome == Outcome::rejected || outcome == Outcome::noConnection;
      checker.over(events.now(), over.clientAttemptId, over.no.value, proven);
      print(100 + static_cast<std::uint64_t>(outcome));
      const bool keeps = outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::rejected;
      EmulatedHost& answering = hosts[over.host];
      if (answering.incarnation == hostIncarnation && answering.state == EmulatedHost::State::up) {
        if (keeps)
          at.resting[over.host].push_back(events.now());
        else if (!over.fresh || over.connected)
          --answering.connections;
      }
      at.gateway->attemptEnded(events.now(), over.requestId, over.no, outcome, response);
      arm(at);
    });
  }
  // The gateway has closed the connection: the host learns of it, if it can be reached.
  void dropAtHost(const Attempt& a) {
    EmulatedHost& m = hosts[a.host];
    if (m.state == EmulatedHost::State::up && (!a.fresh || a.connected)) --m.connections;
    if (!a.job) return;
    events.after(delay(), [this, ref = *a.job] {
      const Job* const job = jobs.find(ref);
      if (!job) return;
      const std::uint32_t host = job->host;
      const bool hangs = marked(FaultKind::hostHang, host);
      if (job->running && !sc.stopsCancelled && !hangs) return;
      const bool running = job->running;
      jobs.drop(ref);
      if (running) next(host);
    });
  }

  // ---- discovery ----

  void change(const std::vector<std::uint32_t>& changed) {
    ++generation;
    for (const std::uint32_t m : changed) changes.emplace_back(generation, m);
    for (GatewayProcess& process : processes) feedSoon(process);
  }
  void feedSoon(GatewayProcess& process) {
    if (process.state == GatewayProcess::State::down || process.feeding || process.told == generation) return;
    process.feeding = true;
    const Duration wait = scaled(sc.told, (0.5 + lists.uniform01()) * product(FaultKind::discoveryLate));
    events.after(wait, [this, &process, incarnation = process.incarnation] { feed(process, incarnation); });
  }
  void feed(GatewayProcess& process, std::uint64_t incarnation) {
    if (process.incarnation != incarnation || process.state == GatewayProcess::State::down) return;
    const auto later = [&](Duration wait) {
      events.after(wait, [this, &process, incarnation] { feed(process, incarnation); });
    };
    if (any(FaultKind::discoveryDown, [](const Active&) { return true; }))
      return later(scaled(sc.connectTimeout, 0.5 + lists.uniform01()));
    if (marked(FaultKind::discoveryRefuse, process.no)) {
      const Duration most = kOdd * kBeat;
      return later(scaled(std::min(most, sc.connectTimeout * (1 << std::min(8, process.refusals++))),
                          0.5 + lists.uniform01()));
    }
    process.refusals = 0;
    std::set<std::uint32_t> changed;
    for (auto at = changes.rbegin(); at != changes.rend() && at->first > process.told; ++at)
      changed.insert(at->second);
    std::string text = listText(changed);
    config::JsonStreamSplitter splitter;
    if (any(FaultKind::discoveryMangle, [](const Active&) { return true; }) && lists.bernoulli(0.5))
      text.resize(1 + lists.below(text.size() - 1));
    // It comes in two parts, cut anywhere, and goes the way that the daemon's bytes go.
    const std::string half = text.substr(0, lists.below(text.size() + 1));
    auto end = splitter.take(half);
    if (end == config::JsonStreamSplitter::End::more) end = splitter.take(text);
    if (end != config::JsonStreamSplitter::End::object)
      return later(scaled(sc.connectTimeout, 0.5 + lists.uniform01()));
    std::string line = text.substr(splitter.from(), splitter.at() - splitter.from());
    line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
    simdjson::dom::parser parser;
    config::element root;
    if (parser.parse(line).get(root)) return later(scaled(sc.connectTimeout, 0.5 + lists.uniform01()));
    const config::EndpointList endpoints = config::readEndpointList(config::Fields("discovery", root));
    metrics.listLines += endpoints.entries.size();
    process.told = generation, process.feeding = false;
    for (const std::uint32_t m : changed) tellOne(process, m);
    process.gateway->endpointsUpdated(events.now(), endpoints);
    arm(process);
  }
  void tellOne(GatewayProcess& process, std::uint32_t m) {
    const EmulatedHost& at = hosts[m];
    checker.told(events.now(), {process.no}, {m}, at.serving && at.state != EmulatedHost::State::gone);
    if (at.cold) process.knownIncarnations[m] = at.incarnation;
  }
  std::string listText(const std::set<std::uint32_t>& changed) const {
    const std::string_view gap = sc.indented ? "\n    " : "";
    std::string text =
        fmt::format("{{{0}\"generation\": {1},{0}\"reset\": false,{0}\"instances\": [", gap, generation);
    bool first = true;
    for (const std::uint32_t m : changed) {
      const config::Endpoint line = lineOf(m);
      fmt::format_to(
          std::back_inserter(text),
          "{}{}{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m\",\"cell\":{},"
          "\"lifecycle\":\"{}\",\"weight\":1,\"startedAtMs\":{}}}",
          first ? "" : ",", gap, line.name, line.address, line.zone, line.cell,
          line.gone ? "terminated" : (line.serving ? "in_service" : "terminating"),
          std::chrono::duration_cast<std::chrono::milliseconds>(line.started).count());
      first = false;
    }
    return text + std::string(gap) + "]" + std::string(gap) + "}\n";
  }

  // ---- the counter ----

  struct CounterState {
    std::map<std::tuple<int, std::uint64_t, std::int64_t>, std::pair<double, TimePoint>> counts;
    std::vector<TimePoint> busyUntil;
    std::size_t sweepAt = 4096;
  };
  void counterCalled(std::uint32_t g, std::uint64_t incarnation, SlotRef ref, CounterKey name, double units,
                     Duration keepFor) {
    CounterState& c = counters[marked(FaultKind::counterSplit, g) ? 1 : 0];
    if (any(FaultKind::counterDown, [](const Active&) { return true; })) return;
    const Duration service = scaled(sc.counterService, product(FaultKind::counterSlow));
    TimePoint& busy = c.busyUntil[name.customer.value % c.busyUntil.size()];
    const TimePoint now = events.now();
    if (busy > now + sc.counterRoom * service)
      return counterSays(g, incarnation, ref, CounterCallOutcome::notAdded, 0);
    busy = std::max(busy, now) + service;
    events.at(busy, [this, &c, g, incarnation, ref, name, units, keepFor] {
      const TimePoint at = events.now();
      auto& entry = c.counts
                        .try_emplace({static_cast<int>(name.kind), name.customer.value, name.slot.value}, 0,
                                     at + keepFor)
                        .first->second;
      if (entry.second < at) entry = {0, at + keepFor};
      entry.first += units;
      if (c.counts.size() > c.sweepAt) {
        std::erase_if(c.counts, [at](const auto& count) { return count.second.second < at; });
        c.sweepAt = std::max<std::size_t>(4096, 2 * c.counts.size());
      }
      double kept = 1;
      for (const auto& [key, a] : active)
        if (a.fault->kind == FaultKind::counterLose) kept *= 1 - std::min(1.0, a.fault->factor);
      if (kept < 1 && !network.bernoulli(kept)) return;
      counterSays(g, incarnation, ref, CounterCallOutcome::ok, entry.first);
    });
  }
  void counterSays(std::uint32_t g, std::uint64_t incarnation, SlotRef ref, CounterCallOutcome end,
                   double total) {
    events.after(delay(), [this, g, incarnation, ref, end, total] {
      counterCallEnded(g, incarnation, ref, end, total);
    });
  }
  void counterCallEnded(std::uint32_t g, std::uint64_t incarnation, SlotRef ref, CounterCallOutcome end,
                        double total) {
    GatewayProcess& process = processes[g];
    if (process.incarnation != incarnation || process.state == GatewayProcess::State::down) return;
    const Call* const at = process.calls.find(ref);
    if (!at) return;
    const Call call = *at;
    process.calls.drop(ref);
    process.gateway->counterCallEnded(events.now(), call.name, end, total, events.now() - call.madeAt);
    arm(process);
  }

  // ---- faults ----

  std::vector<char> mark(std::size_t n, double share, RandomStream& random) const {
    std::vector<std::uint32_t> order(n);
    for (std::uint32_t i = 0; i < n; ++i) order[i] = i;
    for (std::size_t i = n; i > 1; --i) std::swap(order[i - 1], order[random.below(i)]);
    std::vector<char> marks(n, 0);
    const auto wanted = static_cast<std::size_t>(std::llround(share * double(n)));
    for (std::size_t i = 0; i < std::min(n, wanted); ++i) marks[order[i]] = 1;
    return marks;
  }
  void planFaults() {
    for (std::size_t n = 0; n < sc.faults.size(); ++n) {
      const Fault& f = sc.faults[n];
      RandomStream random(seed, fmt::format("fault {}", n));
      const TimePoint from = kBegin + durationOf(random.between(f.from.least, f.from.most));
      const Duration lasts = durationOf(random.between(f.lasts.least, f.lasts.most));
      events.at(from, [this, n, &f, random, lasts]() mutable { begin(n, f, random, lasts); });
    }
  }
  // NOLINTNEXTLINE(readability-function-size): becomes a class for each fault in part two (issue 30)
  void begin(std::size_t n, const Fault& f, RandomStream& random, Duration lasts) {
    Active a{&f, {}, static_cast<std::uint32_t>(random.below(sc.zones)), events.now() + lasts};
    const auto gatewayFault = [&] {
      return f.kind == FaultKind::gatewayKill || f.kind == FaultKind::gatewayRestart ||
             f.kind == FaultKind::discoveryRefuse || f.kind == FaultKind::counterSplit;
    };
    if (gatewayFault()) {
      a.marked = mark(processes.size(), f.share, random);
    } else {
      // Only hosts that are there can be met.
      std::vector<std::uint32_t> up;
      for (std::uint32_t m = 0; m < hosts.size(); ++m)
        if (hosts[m].state == EmulatedHost::State::up && hosts[m].serving) up.push_back(m);
      const std::vector<char> some = mark(up.size(), f.share, random);
      a.marked.assign(hosts.size(), 0);
      for (std::size_t i = 0; i < up.size(); ++i) a.marked[up[i]] = some[i];
    }
    const auto eachMarked = [&a](auto what) {
      for (std::uint32_t i = 0; i < a.marked.size(); ++i)
        if (a.marked[i]) what(i);
    };
    print(7000 + n);
    switch (f.kind) {
      case FaultKind::gatewayKill:
        eachMarked([&](std::uint32_t g) { killProcess(processes[g]); });
        break;
      case FaultKind::gatewayRestart:
        restartInSteps(f, a, lasts);
        break;
      case FaultKind::hostKill:
        eachMarked([&](std::uint32_t m) { killHost(m, EmulatedHost::State::dead); });
        break;
      case FaultKind::zoneLoss:
        for (std::uint32_t m = 0; m < hosts.size(); ++m) {
          a.marked[m] = hosts[m].zone == a.zone && hosts[m].state == EmulatedHost::State::up;
          if (a.marked[m]) killHost(m, EmulatedHost::State::dead);
        }
        break;
      case FaultKind::hostReplace:
        replaceInSteps(f, a, lasts);
        break;
      case FaultKind::counterEmpty:
        for (CounterState& c : counters) c.counts.clear();
        break;
      case FaultKind::counterSplit:
        counters[1].counts.clear();
        break;
      default:
        break;
    }
    active.emplace(n, std::move(a));
    events.after(lasts, [this, n] { end(n); });
  }
  void end(std::size_t n) {
    const Active a = std::move(active.at(n));
    active.erase(n);
    print(8000 + n);
    for (std::uint32_t i = 0; i < a.marked.size(); ++i) {
      if (!a.marked[i]) continue;
      if (a.fault->kind == FaultKind::gatewayKill && processes[i].state == GatewayProcess::State::down)
        startProcess(processes[i]);
      if ((a.fault->kind == FaultKind::hostKill || a.fault->kind == FaultKind::zoneLoss) &&
          hosts[i].state == EmulatedHost::State::dead)
        startHost(i);
      // What hung goes on where it was: it answers what it still holds.
      if (a.fault->kind == FaultKind::hostHang && !marked(FaultKind::hostHang, i)) wakeHost(i);
    }
  }
  void wakeHost(std::uint32_t m) {
    std::vector<SlotRef> held;
    jobs.each([&](SlotRef ref, Job& job) {
      if (job.host == m && job.running) held.push_back(ref);
    });
    for (const SlotRef ref : held) events.after(jobs.find(ref)->work, [this, ref] { done(ref); });
  }
  void restartInSteps(const Fault& f, const Active& a, Duration lasts) {
    std::vector<std::uint32_t> who;
    for (std::uint32_t g = 0; g < a.marked.size(); ++g)
      if (a.marked[g]) who.push_back(g);
    for (std::size_t i = 0; i < who.size(); ++i)
      events.after(lasts * static_cast<int>(i * static_cast<std::size_t>(f.steps) / who.size()) / f.steps,
                   [this, g = who[i]] { beginShutdown(processes[g]); });
  }
  void replaceInSteps(const Fault& f, const Active& a, Duration lasts) {
    std::vector<std::uint32_t> who;
    for (std::uint32_t m = 0; m < a.marked.size(); ++m)
      if (a.marked[m]) who.push_back(m);
    for (int step = 0; step < f.steps; ++step) {
      std::vector<std::uint32_t> part;
      for (std::size_t i = 0; i < who.size(); ++i)
        if (static_cast<int>(i * static_cast<std::size_t>(f.steps) / who.size()) == step)
          part.push_back(who[i]);
      events.after(lasts * step / f.steps, [this, part] {
        std::vector<std::uint32_t> changed;
        for (const std::uint32_t m : part) {
          if (hosts[m].state == EmulatedHost::State::gone) continue;
          changed.push_back(addHost(hosts[m].zone, true));
          hosts[m].serving = false;
          changed.push_back(m);
          // Drained, it ends when the last that it may have been sent is over.
          events.after(sc.drainGrace + sc.longestDeadline(), [this, m] {
            killHost(m, EmulatedHost::State::gone);
            hosts[m].state = EmulatedHost::State::gone;
            change({m});
            events.after(std::chrono::seconds(30), [this, m] { checker.hostForgotten({m}); });
          });
        }
        if (!changed.empty()) change(changed);
      });
    }
  }

  // ---- the run ----

  Metrics run() {
    config = sc.config();
    drawCustomers();
    for (CounterState& c : counters) c.busyUntil.assign(static_cast<std::size_t>(sc.counterParts), kBegin);
    for (std::uint32_t h = 0; h < sc.hosts; ++h) addHost(h % sc.zones, false);
    for (std::uint32_t g = 0; g < sc.gateways; ++g) processes.emplace_back(*this, g, g % sc.zones);
    for (GatewayProcess& process : processes) startProcess(process);
    planFaults();
    nextArrival();
    const TimePoint until = kBegin + sc.length + sc.longestDeadline() + std::chrono::seconds(2);
    while (events.step(until)) ++metrics.events;
    checker.finish(events.now());
    metrics.unitsSent = checker.unitsSent(), metrics.unitsBeyond = checker.unitsBeyond();
    metrics.worstWindow = checker.worstWindow();
    metrics.nearestCold = checker.nearestCold();
    for (std::size_t r = 0; r < kInvariants; ++r)
      metrics.violations[r] = checker.count(static_cast<Invariant>(r));
    metrics.first = checker.first();
    for (Violation& b : metrics.first) b.at = TimePoint(b.at - kBegin);
    return std::move(metrics);
  }

  const Scenario& sc;
  const std::uint64_t seed;
  const Policy policy;
  const GatewayFactory& maker;
  EventQueue events;
  InvariantChecker checker;
  Metrics metrics;
  RandomStream network{seed, "network"}, arrivals{seed, "arrivals"}, choices{seed, "choices"},
      works{seed, "works"}, lists{seed, "lists"}, lives{seed, "lives"};
  std::vector<double> weights, methodWeights, planWeights;
  core::SlotTable<ClientRequest> clientRequests;
  core::SlotTable<ClientAttempt> clientAttempts;
  std::unordered_map<std::uint64_t, SlotRef> tryOf;  // by id, while attempts of it are out; looked up only
  std::size_t tryOfSweep = 1024;
  std::uint64_t lastTry = 0;
  config::GatewayConfig config;
  std::deque<GatewayProcess> processes;
  std::vector<EmulatedHost> hosts;
  core::SlotTable<Job> jobs;
  std::uint64_t generation = 1;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> changes;
  CounterState counters[2];
  std::map<std::size_t, Active> active;
};

// ---- a gateway's ways out ----

void GatewayProcess::answerOk(SlotRef client, std::string_view, std::string_view) {
  const ClientAttempt* const t = w.clientAttempts.find(client);
  if (!t) return;
  w.checker.answered(w.events.now(), t->id, Answer::ok);
  w.events.after(w.delay(), [&world = w, client] { world.answerCame(client, Answer::ok, Duration{0}); });
}

void GatewayProcess::answerRejected(SlotRef client, Duration retryAfter) {
  const ClientAttempt* const t = w.clientAttempts.find(client);
  if (!t) return;
  w.checker.answered(w.events.now(), t->id, Answer::rejected);
  w.events.after(w.delay(), [&world = w, client, retryAfter] {
    world.answerCame(client, Answer::rejected, retryAfter);
  });
}

void GatewayProcess::answerFailed(SlotRef client) {
  const ClientAttempt* const t = w.clientAttempts.find(client);
  if (!t) return;
  w.checker.answered(w.events.now(), t->id, Answer::failed);
  w.events.after(w.delay(), [&world = w, client] { world.answerCame(client, Answer::failed, Duration{0}); });
}

std::variant<SlotRef, Outcome> GatewayProcess::startAttempt(RequestId requestId, AttemptNumber attemptNumber,
                                                            SlotRef client, HostId host, AttemptDeadline) {
  const ClientAttempt* const t = w.clientAttempts.find(client);
  if (!t) return Outcome::notSent;
  const std::string& address = gateway->addressOf(host);
  std::uint32_t m = 0;
  std::from_chars(address.data(), address.data() + address.size(), m);
  const EmulatedHost& target = w.hosts.at(m);
  auto& rest = resting[m];
  const TimePoint now = w.events.now();
  while (!rest.empty() && rest.front() + w.sc.idle / 2 <= now) {
    rest.pop_front();
    if (target.state == EmulatedHost::State::up) --w.hosts[m].connections;
  }
  const bool fresh = rest.empty();
  if (!fresh) rest.pop_back();
  const SlotRef ref = attempts.add(Attempt{requestId, attemptNumber, t->id, m, target.incarnation, fresh});
  w.tryOf[t->id.value] = client;
  if (w.tryOf.size() > w.tryOfSweep) {
    std::erase_if(w.tryOf, [this](const auto& at) { return !w.clientAttempts.find(at.second); });
    w.tryOfSweep = std::max<std::size_t>(1024, 2 * w.tryOf.size());
  }
  w.checker.sent(now, t->id, attemptNumber.value, {m}, target.zone, target.cell);
  ++w.metrics.attempts, ++w.second().attempts;
  if (attemptNumber.value > 0) ++w.metrics.further;
  if (fresh) ++w.metrics.connects, ++w.second().connects;
  w.print(20'000 + m);
  const Duration way = fresh ? 2 * w.delay() + w.delay() : w.delay();
  w.events.after(way, [&world = w, g = no, l = incarnation, ref] { world.reachHost(g, l, ref); });
  return ref;
}

bool GatewayProcess::closeAttempt(SlotRef, AttemptNumber, SlotRef link) {
  const Attempt* const a = attempts.find(link);
  if (!a) return true;
  const Attempt given = *a;
  attempts.drop(link);
  // What a new connection has not carried yet was never written whole.
  w.checker.over(w.events.now(), given.clientAttemptId, given.no.value, false);
  w.dropAtHost(given);
  return true;
}

void GatewayProcess::addToCounter(const CounterKey& name, double units, Duration keepFor) {
  ++w.metrics.countCalls, ++w.second().countCalls;
  const SlotRef ref = calls.add(Call{name, w.events.now()});
  w.events.after(w.delay(), [&world = w, g = no, l = incarnation, ref, name, units, keepFor] {
    world.counterCalled(g, l, ref, name, units, keepFor);
  });
  w.events.after(w.sc.counterTimeout, [&world = w, g = no, l = incarnation, ref] {
    world.counterCallEnded(g, l, ref, CounterCallOutcome::unknown, 0);
  });
}

void GatewayProcess::hostUnavailable(HostId host) {
  if (!gateway) return;
  const std::string& address = gateway->addressOf(host);
  std::uint32_t m = 0;
  const auto [end, error] = std::from_chars(address.data(), address.data() + address.size(), m);
  if (error != std::errc{}) return;
  const auto at = resting.find(m);
  if (at == resting.end()) return;
  if (w.hosts[m].state == EmulatedHost::State::up)
    w.hosts[m].connections -= static_cast<int>(at->second.size());
  resting.erase(at);
}

}  // namespace

Metrics play(const Scenario& scenario, std::uint64_t seed, Policy policy, const GatewayFactory& gateway) {
  World world(scenario, seed, policy, gateway);
  return world.run();
}

}  // namespace merlinbridge::emulator
