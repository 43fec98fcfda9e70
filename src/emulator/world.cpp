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
#include "emulator/agenda.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/tally.hpp"

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

struct Machine {
  enum class State { up, dead, gone };
  std::uint32_t zone;
  std::int64_t cell;
  std::string name;
  TimePoint started;
  bool cold;  // its start is told
  State state = State::up;
  bool serving = true;
  std::uint64_t life = 1;
  int running = 0, connections = 0;
  std::deque<SlotRef> queue{};
  double doneLately = 0;
  TimePoint doneAt{};
};

struct Job {
  std::uint32_t machine;
  std::uint64_t machineLife;
  std::uint32_t gateway;
  std::uint64_t gatewayLife;
  SlotRef attempt;
  TryId requestId;
  std::uint32_t no;
  Duration work;
  bool running = false;
};

struct Attempt {
  RequestId requestId;
  AttemptNumber no;
  TryId tryId;
  std::uint32_t machine;
  std::uint64_t machineLife;
  bool fresh;                    // on a new connection
  bool connected = false;        // which has come up
  std::optional<SlotRef> job{};  // at the host
};

struct Wish {
  std::uint64_t customer;
  std::uint32_t plan, method;
  double units;
  TimePoint askedAt, deadline;
  int triesLeft, triesMade = 0;
  SlotRef current{};
};

struct Try {
  SlotRef wish;
  TryId id;
  std::uint32_t gateway;
  std::uint64_t gatewayLife;
  bool inside = false;
};

struct Call {
  CountName name;
  TimePoint madeAt;
};

// One gateway: the doorman inside and, round it, what the sockets would be.
struct Node final : core::Transport {
  enum class State { down, ready, leaving };

  Node(World& world, std::uint32_t number, std::uint32_t z) : w(world), no(number), zone(z) {}

  void answerOk(SlotRef client, std::string_view, std::string_view) override;
  void answerRejected(SlotRef client, Duration comeBackAfter) override;
  void answerFailed(SlotRef client) override;
  std::variant<SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                              AttemptDeadline) override;
  bool closeAttempt(SlotRef client, AttemptNumber, SlotRef link) override;
  void probe(HostId) override {}
  void count(const CountName&, double units, Duration keptFor) override;
  void hostUnavailable(HostId host) override;
  void note(const std::string&) override {}

  World& w;
  std::uint32_t no, zone;
  State state = State::down;
  std::uint64_t life = 0;
  bool listed = true;  // the clients' front sends to it
  core::DeadlineQueue deadlines;
  std::unique_ptr<Doorman> doorman;
  TimePoint armed = TimePoint::max();
  core::SlotTable<Attempt> attempts;
  core::SlotTable<Call> calls;
  std::map<std::uint32_t, std::deque<TimePoint>> resting;  // connections by machine, and since when
  std::uint64_t told = 0;                                  // generation
  bool feeding = false;
  int refusals = 0;
  std::map<std::uint32_t, std::uint64_t> knowsLife;  // of machines: the start that it was told of
};

struct Active {
  const Fault* fault;
  std::vector<char> marked;  // gateways or hosts or zones that it concerns
  std::uint32_t zone = 0;
  TimePoint ends{};
};

struct World {
  World(const Scenario& scenario, std::uint64_t s, Policy p, const DoormanMaker& m)
      : sc(scenario), seed(s), policy(p), maker(m), agenda(kBegin), ledger(scenario) {}

  // ---- chance, faults, the network ----

  double product(Trouble kind) const {
    double all = 1;
    for (const auto& [key, a] : active)
      if (a.fault->kind == kind) all *= a.fault->factor;
    return all;
  }
  template <class Holds>
  bool any(Trouble kind, Holds holds) const {
    return std::any_of(active.begin(), active.end(),
                       [&](const auto& at) { return at.second.fault->kind == kind && holds(at.second); });
  }
  bool marked(Trouble kind, std::uint32_t which) const {
    return any(kind, [which](const Active& a) { return which < a.marked.size() && a.marked[which]; });
  }
  Duration delay() {
    double factor = 1, lost = 1 - sc.loss;
    for (const auto& [key, a] : active) {
      if (a.fault->kind == Trouble::netSlow) factor *= a.fault->factor;
      if (a.fault->kind == Trouble::netLoss) lost *= 1 - std::min(1.0, a.fault->factor);
    }
    Duration span = scaled(sc.delay, factor) + scaled(sc.jitter, network.uniform01() * factor);
    for (int n = 0; lost < 1 && n < 6 && network.bernoulli(1 - lost); ++n) span += kSentAgain * (1 << n);
    return span;
  }
  bool cut(std::uint32_t zoneA, std::uint32_t zoneB) const {
    return zoneA != zoneB &&
           any(Trouble::zoneCut, [=](const Active& a) { return a.zone == zoneA || a.zone == zoneB; });
  }
  bool silent(std::uint32_t machine) const { return marked(Trouble::hostVanish, machine); }
  void print(std::uint64_t what) {
    tally.print = (tally.print ^ what ^ static_cast<std::uint64_t>(agenda.now().time_since_epoch().count())) *
                  1099511628211u;
  }
  Tally::Second& second() {
    const auto at = static_cast<std::size_t>(std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::seconds>(agenda.now() - kBegin).count()));
    if (tally.seconds.size() <= at) tally.seconds.resize(at + 1);
    return tally.seconds[at];
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
    const double rate = sc.rate * product(Trouble::loadBurst);
    // Where nobody asks just now, it is looked again a little later.
    const TimePoint at = agenda.now() + (rate > 0 ? durationOf(std::min(1e4, arrivals.exponential(1 / rate)))
                                                  : Duration(std::chrono::milliseconds(100)));
    if (at > kBegin + sc.length) return;
    agenda.at(at, [this, rate] {
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
    const TimePoint now = agenda.now();
    const SlotRef wish =
        wishes.add(Wish{customer, plan, method, units, now, now + sc.methods[method].deadline, sc.tries});
    ++tally.asked, ++second().asked;
    tally.worthAsked += worthOf(*wishes.find(wish));
    const bool leaves = arrivals.bernoulli(sc.leaves);
    const TimePoint until =
        leaves ? now + scaled(sc.methods[method].deadline, arrivals.uniform01())
               : now + sc.methods[method].deadline + 2 * sc.answerSlack + 2 * (sc.delay + sc.jitter);
    agenda.at(until, [this, wish, leaves] { stopWaiting(wish, leaves); });
    ask(wish);
  }
  double worthOf(const Wish& wish) const {
    return sc.methods[wish.method].utility * sc.plans[wish.plan].plan.price * wish.units;
  }
  void ask(SlotRef ref) {
    Wish& wish = *wishes.find(ref);
    if (wish.triesLeft-- <= 0 || agenda.now() >= wish.deadline) return fail(ref);
    ++wish.triesMade, ++tally.tries;
    // Uneven, as clients come: the first gateway of a customer's set sees the most.
    const std::uint32_t spread = std::min(sc.spread, sc.gateways);
    const auto first = static_cast<std::uint32_t>((wish.customer * 0xff51afd7ed558ccdu >> 33) % sc.gateways);
    auto at = static_cast<std::uint32_t>(spread * std::pow(choices.uniform01(), kUneven));
    std::uint32_t g = (first + at) % sc.gateways;
    for (std::uint32_t n = 0; n < spread && !nodes[g].listed; ++n) g = (first + ++at % spread) % sc.gateways;
    const TryId id{++lastTry};
    wish.current = tries.add(Try{ref, id, g, nodes[g].life});
    agenda.after(delay(), [this, t = wish.current] { reachGateway(t); });
  }
  void reachGateway(SlotRef ref) {
    Try* const t = tries.find(ref);
    if (!t) return;
    Node& node = nodes[t->gateway];
    t->gatewayLife = node.life;
    if (node.state == Node::State::down) {
      ++tally.unreached;
      return agenda.after(delay(), [this, ref] { again(ref, true, Duration{0}); });
    }
    const Wish& wish = *wishes.find(t->wish);
    ledger.taken(agenda.now(), t->id,
                 {{t->gateway}, wish.method, wish.plan, wish.customer, wish.units, wish.deadline});
    tally.mostInFlight = std::max(tally.mostInFlight, ledger.held());
    print(t->id.value);
    Request a{{},
              {wish.customer},
              {wish.plan},
              {wish.method},
              wish.deadline,
              wish.units,
              std::min(sc.spread, sc.gateways)};
    node.doorman->requestArrived(agenda.now(), ref, a);
    arm(node);
  }
  // This try is over without a result; may the client ask once more?
  void again(SlotRef ref, bool may, Duration advice) {
    Try* const t = tries.find(ref);
    if (!t) return;
    const SlotRef wishRef = t->wish;
    tries.drop(ref);
    Wish* const wish = wishes.find(wishRef);
    if (!wish) return;
    wish->current = {};
    if (!may) return fail(wishRef);
    Duration wait =
        scaled(sc.wait, (0.5 + choices.uniform01()) * double(1 << std::min(10, wish->triesMade - 1)));
    if (advice > Duration{0} && choices.bernoulli(sc.heedsAdvice)) wait = std::max(wait, advice);
    if (agenda.now() + wait >= wish->deadline || wish->triesLeft <= 0) return fail(wishRef);
    agenda.after(wait, [this, wishRef] {
      if (wishes.find(wishRef)) ask(wishRef);
    });
  }
  bool mayAskAgain(const Wish& wish) const {
    const ScenarioMethod& m = sc.methods[wish.method];
    return m.repeat == Repeat::idempotent || (m.repeat == Repeat::deduplicated && m.group == Group::all &&
                                              agenda.now() < wish.askedAt + m.window);
  }
  void fail(SlotRef ref) {
    const Wish* const wish = wishes.find(ref);
    if (!wish) return;
    ++tally.failed, ++second().failed;
    print(3);
    wishes.drop(ref);
  }
  void stopWaiting(SlotRef ref, bool early) {
    Wish* const wish = wishes.find(ref);
    if (!wish) return;
    const SlotRef current = wish->current;
    early ? void(++tally.left) : void((++tally.failed, ++second().failed));
    wishes.drop(ref);
    Try* const t = tries.find(current);
    if (!t) return;
    Node& node = nodes[t->gateway];
    const TryId id = t->id;
    const std::uint64_t life = t->gatewayLife;
    agenda.after(delay(), [this, current, id, life, &node] {
      if (!tries.find(current)) return;
      if (node.life == life && node.state != Node::State::down) {
        ledger.clientLeft(agenda.now(), id);
        node.doorman->clientLeft(agenda.now(), current);
        arm(node);
      }
      tries.drop(current);
    });
  }
  void answerCame(SlotRef ref, Answer how, Duration advice) {
    Try* const t = tries.find(ref);
    if (!t) return;
    const SlotRef wishRef = t->wish;
    const Wish* const wish = wishes.find(wishRef);
    if (!wish) return tries.drop(ref);
    print(10 + static_cast<std::uint64_t>(how));
    if (how != Answer::ok) {
      how == Answer::rejected ? void((++tally.rejected, ++second().rejected)) : void(++tally.failedAnswers);
      return again(ref, how == Answer::rejected || mayAskAgain(*wish), advice);
    }
    const TimePoint now = agenda.now();
    const bool inTime = now <= wish->askedAt + sc.methods[wish->method].soft;
    inTime ? void((++tally.inTime, ++second().inTime)) : void((++tally.late, ++second().late));
    if (t->inside) tally.worth += worthOf(*wish) * (inTime ? 1 : kLateWorth);
    tally.latency.add(now - wish->askedAt);
    tries.drop(ref);
    wishes.drop(wishRef);
  }

  // ---- gateways ----

  void arm(Node& node) {
    const TimePoint next = node.deadlines.next();
    if (node.state == Node::State::down || next >= node.armed) return;
    node.armed = next;
    agenda.at(next, [this, &node, life = node.life, next] {
      if (node.life != life || node.state == Node::State::down || node.armed != next) return;
      node.armed = TimePoint::max();
      node.deadlines.run(agenda.now());
      arm(node);
    });
  }
  void bear(Node& node) {
    ++node.life;
    node.state = Node::State::ready;
    node.armed = TimePoint::max(), node.told = generation, node.refusals = 0, node.feeding = false;
    node.deadlines = {};
    node.attempts = {}, node.calls = {}, node.resting.clear(), node.knowsLife.clear();
    config::GatewayConfig o = config;
    o.seed = lives.word();
    o.known.generation = generation;
    o.known.complete = true;
    for (std::uint32_t m = 0; m < machines.size(); ++m)
      if (machines[m].state != Machine::State::gone) {
        o.known.entries.push_back(lineOf(m));
        tellOne(node, m);
      }
    Truth truth{
        [this](std::uint64_t c, std::uint32_t p, double u) { return ledger.wouldFit(agenda.now(), c, p, u); },
        [this](std::string_view address) { return loadOf(address); }};
    node.doorman = maker ? maker(o, agenda.now(), node.deadlines, node, truth)
                         : doormanOf(policy, o, agenda.now(), node.deadlines, node, truth);
    node.listed = true;
    feedSoon(node);
    arm(node);
  }
  void die(Node& node) {
    if (node.state == Node::State::down) return;
    node.state = Node::State::down;
    ++node.life;
    ledger.gatewayDied(agenda.now(), {node.no});
    print(1000 + node.no);
    // Its machine's connections are reset, its clients are told by that.
    std::vector<SlotRef> held;
    tries.each([&](SlotRef ref, Try& t) {
      if (t.gateway == node.no && t.gatewayLife + 1 == node.life) held.push_back(ref);
    });
    for (const SlotRef ref : held)
      agenda.after(delay(), [this, ref] {
        const Try* const t = tries.find(ref);
        if (!t) return;
        const Wish* const wish = wishes.find(t->wish);
        again(ref, wish && mayAskAgain(*wish), Duration{0});
      });
    node.attempts.each([&](SlotRef, Attempt& a) { dropAtHost(a); });
    node.attempts = {};
    for (const auto& [m, rest] : node.resting) machines[m].connections -= static_cast<int>(rest.size());
    node.resting.clear();
    node.doorman.reset();
    node.deadlines = {};
    agenda.after(sc.notice, [&node] {
      if (node.state == Node::State::down) node.listed = false;
    });
  }
  void leave(Node& node) {
    if (node.state != Node::State::ready) return;
    node.state = Node::State::leaving;
    const TimePoint by = agenda.now() + kStillComing + std::min(sc.longestDeadline(), kLongestKept) - kSpared;
    node.doorman->endBy(by);
    agenda.after(kStillComing / 2, [&node] { node.listed = false; });
    arm(node);
    agenda.after(kStillComing, [this, &node, life = node.life] { lookWhetherDone(node, life); });
  }
  void lookWhetherDone(Node& node, std::uint64_t life) {
    if (node.life != life || node.state != Node::State::leaving) return;
    if (node.doorman->unanswered() > 0)
      return agenda.after(kSpared / 10, [this, &node, life] { lookWhetherDone(node, life); });
    die(node);
    agenda.after(sc.restart, [this, &node, l = node.life] {
      if (node.life == l && node.state == Node::State::down) bear(node);
    });
  }

  // ---- hosts ----

  config::Endpoint lineOf(std::uint32_t m) const {
    const Machine& at = machines[m];
    return {at.name,
            std::to_string(m),
            fmt::format("z{}", at.zone),
            "m",
            at.cell,
            at.serving && at.state != Machine::State::gone,
            at.state == Machine::State::gone,
            1,
            at.cold ? at.started.time_since_epoch() : Duration{0}};
  }
  std::uint32_t addMachine(std::uint32_t zone, bool cold) {
    const auto m = static_cast<std::uint32_t>(machines.size());
    machines.push_back({zone, static_cast<std::int64_t>(m % 8), fmt::format("h{}", m),
                        cold ? agenda.now() : kBegin - sc.cold - std::chrono::hours(1), cold});
    return m;
  }
  // The least share of its capacity that it has by now.
  double warmth(const Machine& m) const {
    if (sc.cold <= Duration{0}) return 1;
    return sc.startCapacity + (1 - sc.startCapacity) *
                                  std::clamp(seconds(agenda.now() - m.started) / seconds(sc.cold), 0.0, 1.0);
  }
  double loadOf(std::string_view address) const {
    std::uint32_t m = 0;
    std::from_chars(address.data(), address.data() + address.size(), m);
    const Machine& at = machines[m];
    if (at.state != Machine::State::up || !at.serving || silent(m) || marked(Trouble::hostHang, m)) return -1;
    const double slow = marked(Trouble::hostSlow, m) ? product(Trouble::hostSlow) : 1;
    return (at.running + double(at.queue.size())) * slow / (sc.cores * warmth(at));
  }
  void killMachine(std::uint32_t m, Machine::State state) {
    Machine& at = machines[m];
    if (at.state != Machine::State::up) return;
    at.state = state;
    ++at.life;
    at.running = 0, at.connections = 0;
    at.queue.clear();
    std::vector<SlotRef> ended;
    jobs.each([&](SlotRef ref, Job& job) {
      if (job.machine == m) ended.push_back(ref);
    });
    for (const SlotRef ref : ended) {
      const Job job = *jobs.find(ref);
      jobs.drop(ref);
      endAttempt(job.gateway, job.gatewayLife, job.attempt, Outcome::lost);
    }
    for (Node& node : nodes) node.resting.erase(m);
  }
  void startMachine(std::uint32_t m) {
    Machine& at = machines[m];
    if (at.state == Machine::State::gone) return;
    at.state = Machine::State::up;
    ++at.life;
    at.started = agenda.now(), at.cold = true;
    change({m});
  }
  void reachHost(std::uint32_t g, std::uint64_t life, SlotRef ref) {
    Node& node = nodes[g];
    if (node.life != life) return;
    Attempt* const a = node.attempts.find(ref);
    if (!a) return;  // given up on the way: the host sees no whole request
    Machine& m = machines[a->machine];
    if (cut(node.zone, m.zone) || silent(a->machine)) {
      // Nothing is said. A new connection is given up by the gateway's own patience.
      if (a->fresh)
        agenda.after(sc.connectTimeout,
                     [this, g, life, ref] { endAttempt(g, life, ref, Outcome::noConnection, true); });
      return;
    }
    const bool full = a->fresh && m.connections >= sc.connections;
    // An old connection ends with the life of the host that it led to, be this up again or not.
    if (m.state != Machine::State::up || full || (!a->fresh && a->machineLife != m.life))
      return endAttempt(g, life, ref, a->fresh ? Outcome::noConnection : Outcome::lost);
    if (a->fresh) ++m.connections, a->connected = true;
    const Wish* wish = nullptr;
    Try* asked = nullptr;
    if (const auto at = tryOf.find(a->tryId.value); at != tryOf.end()) asked = tries.find(at->second);
    if (asked) wish = wishes.find(asked->wish);
    const std::uint32_t method = methodOf(*a, wish);
    const Duration work = scaled(sc.methods[method].work, 0.5 + works.exponential(0.5));
    const bool toldOfIt = node.knowsLife.contains(a->machine);
    if (const auto inside = ledger.reached(agenda.now(), a->tryId, a->no.value)) {
      second().unitsSent += wish ? wish->units : 0;
      if (asked) asked->inside = *inside;
      if (!*inside) second().unitsBeyond += wish ? wish->units : 0;
    }
    if (m.cold && ledger.hostAsked(agenda.now(), {a->machine}, m.started, work, toldOfIt)) {
      ++tally.hostsFallen;
      print(5000 + a->machine);
      const std::uint32_t fallen = a->machine;
      killMachine(fallen, Machine::State::dead);
      return endAttempt(g, life, ref, Outcome::lost);
    }
    if (m.running >= sc.cores && m.queue.size() >= static_cast<std::size_t>(sc.room))
      return endAttempt(g, life, ref, Outcome::rejected);
    const SlotRef job = jobs.add(Job{a->machine, m.life, g, life, ref, a->tryId, a->no.value, work});
    a->job = job;
    m.running < sc.cores ? run(job) : void(m.queue.push_back(job));
  }
  std::uint32_t methodOf(const Attempt& a, const Wish* wish) const {
    if (wish) return wish->method;
    return static_cast<std::uint32_t>(a.tryId.value % sc.methods.size());
  }
  void run(SlotRef ref) {
    Job& job = *jobs.find(ref);
    Machine& m = machines[job.machine];
    job.running = true;
    ++m.running;
    ledger.ran(agenda.now(), job.requestId, job.no, {job.machine}, m.zone, m.cell);
    if (marked(Trouble::hostHang, job.machine)) return;
    double slow = 1 / warmth(m);
    for (const auto& [key, a] : active)
      if (a.fault->kind == Trouble::hostSlow && job.machine < a.marked.size() && a.marked[job.machine])
        slow *= a.fault->factor;
    agenda.after(scaled(job.work, slow), [this, ref] { done(ref); });
  }
  void done(SlotRef ref) {
    const Job* const at = jobs.find(ref);
    if (!at) return;
    const Job job = *at;
    jobs.drop(ref);
    Machine& m = machines[job.machine];
    m.doneLately = m.doneLately * std::exp(-seconds(agenda.now() - m.doneAt)) + 1;
    m.doneAt = agenda.now();
    const bool err = any(Trouble::hostErr, [&](const Active& a) {
      return job.machine < a.marked.size() && a.marked[job.machine] && works.bernoulli(a.fault->factor);
    });
    if (!err) ledger.served(agenda.now(), job.requestId, job.no);
    endAttempt(job.gateway, job.gatewayLife, job.attempt, err ? Outcome::error : Outcome::ok);
    next(job.machine);
  }
  void next(std::uint32_t machine) {
    Machine& m = machines[machine];
    --m.running;
    while (!m.queue.empty() && m.running < sc.cores) {
      const SlotRef job = m.queue.front();
      m.queue.pop_front();
      if (jobs.find(job)) run(job);
    }
  }
  // Something comes back from a host, or from the way to it, and reaches the gateway a little later.
  void endAttempt(std::uint32_t g, std::uint64_t life, SlotRef ref, Outcome outcome, bool atOnce = false) {
    Node& node = nodes[g];
    if (node.life != life) return;
    const Attempt* const a = node.attempts.find(ref);
    if (!a) return;
    const std::uint32_t machine = a->machine;
    if (!atOnce && (cut(node.zone, machines[machine].zone) || silent(machine))) return;
    core::UpstreamResponse response{};
    const Machine& m = machines[machine];
    if (sc.reports && outcome == Outcome::ok) {
      response.load.held = m.running + double(m.queue.size());
      response.load.queued = double(m.queue.size());
      response.load.perSecond = m.doneLately;
    }
    const std::uint64_t machineLife = m.life;
    agenda.after(atOnce ? Duration{0} : delay(), [this, g, life, ref, outcome, response, machineLife] {
      Node& at = nodes[g];
      if (at.life != life) return;
      Attempt* const attempt = at.attempts.find(ref);
      if (!attempt) return;
      const Attempt over = *attempt;
      at.attempts.drop(ref);
      const bool proven = outcome == Outcome::rejected || outcome == Outcome::noConnection;
      ledger.over(agenda.now(), over.tryId, over.no.value, proven);
      print(100 + static_cast<std::uint64_t>(outcome));
      const bool keeps = outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::rejected;
      Machine& host = machines[over.machine];
      if (host.life == machineLife && host.state == Machine::State::up) {
        if (keeps)
          at.resting[over.machine].push_back(agenda.now());
        else if (!over.fresh || over.connected)
          --host.connections;
      }
      at.doorman->attemptEnded(agenda.now(), over.requestId, over.no, outcome, response);
      arm(at);
    });
  }
  // The gateway has closed the connection: the host learns of it, if it can be reached.
  void dropAtHost(const Attempt& a) {
    Machine& m = machines[a.machine];
    if (m.state == Machine::State::up && (!a.fresh || a.connected)) --m.connections;
    if (!a.job) return;
    agenda.after(delay(), [this, ref = *a.job] {
      const Job* const job = jobs.find(ref);
      if (!job) return;
      const std::uint32_t machine = job->machine;
      const bool hangs = marked(Trouble::hostHang, machine);
      if (job->running && !sc.stopsCancelled && !hangs) return;
      const bool running = job->running;
      jobs.drop(ref);
      if (running) next(machine);
    });
  }

  // ---- discovery ----

  void change(const std::vector<std::uint32_t>& changed) {
    ++generation;
    for (const std::uint32_t m : changed) changes.emplace_back(generation, m);
    for (Node& node : nodes) feedSoon(node);
  }
  void feedSoon(Node& node) {
    if (node.state == Node::State::down || node.feeding || node.told == generation) return;
    node.feeding = true;
    const Duration wait = scaled(sc.told, (0.5 + lists.uniform01()) * product(Trouble::discoveryLate));
    agenda.after(wait, [this, &node, life = node.life] { feed(node, life); });
  }
  void feed(Node& node, std::uint64_t life) {
    if (node.life != life || node.state == Node::State::down) return;
    const auto later = [&](Duration wait) { agenda.after(wait, [this, &node, life] { feed(node, life); }); };
    if (any(Trouble::discoveryDown, [](const Active&) { return true; }))
      return later(scaled(sc.connectTimeout, 0.5 + lists.uniform01()));
    if (marked(Trouble::discoveryRefuse, node.no)) {
      const Duration most = kOdd * kBeat;
      return later(scaled(std::min(most, sc.connectTimeout * (1 << std::min(8, node.refusals++))),
                          0.5 + lists.uniform01()));
    }
    node.refusals = 0;
    std::set<std::uint32_t> changed;
    for (auto at = changes.rbegin(); at != changes.rend() && at->first > node.told; ++at)
      changed.insert(at->second);
    std::string text = listText(changed);
    config::Pieces pieces;
    if (any(Trouble::discoveryMangle, [](const Active&) { return true; }) && lists.bernoulli(0.5))
      text.resize(1 + lists.below(text.size() - 1));
    // It comes in two parts, cut anywhere, and goes the way that the daemon's bytes go.
    const std::string half = text.substr(0, lists.below(text.size() + 1));
    auto end = pieces.take(half);
    if (end == config::Pieces::End::more) end = pieces.take(text);
    if (end != config::Pieces::End::piece) return later(scaled(sc.connectTimeout, 0.5 + lists.uniform01()));
    std::string line = text.substr(pieces.from(), pieces.at() - pieces.from());
    line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
    simdjson::dom::parser parser;
    config::element root;
    if (parser.parse(line).get(root)) return later(scaled(sc.connectTimeout, 0.5 + lists.uniform01()));
    const config::EndpointList endpoints = config::readEndpointList(config::Fields("discovery", root));
    tally.listLines += endpoints.entries.size();
    node.told = generation, node.feeding = false;
    for (const std::uint32_t m : changed) tellOne(node, m);
    node.doorman->endpointsUpdated(agenda.now(), endpoints);
    arm(node);
  }
  void tellOne(Node& node, std::uint32_t m) {
    const Machine& at = machines[m];
    ledger.told(agenda.now(), {node.no}, {m}, at.serving && at.state != Machine::State::gone);
    if (at.cold) node.knowsLife[m] = at.life;
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
  void counterCalled(std::uint32_t g, std::uint64_t life, SlotRef ref, CountName name, double units,
                     Duration keptFor) {
    CounterState& c = counters[marked(Trouble::counterSplit, g) ? 1 : 0];
    if (any(Trouble::counterDown, [](const Active&) { return true; })) return;
    const Duration service = scaled(sc.counterService, product(Trouble::counterSlow));
    TimePoint& busy = c.busyUntil[name.customer.value % c.busyUntil.size()];
    const TimePoint now = agenda.now();
    if (busy > now + sc.counterRoom * service) return counterSays(g, life, ref, CountEnd::notAdded, 0);
    busy = std::max(busy, now) + service;
    agenda.at(busy, [this, &c, g, life, ref, name, units, keptFor] {
      const TimePoint at = agenda.now();
      auto& entry = c.counts
                        .try_emplace({static_cast<int>(name.what), name.customer.value, name.slot.value}, 0,
                                     at + keptFor)
                        .first->second;
      if (entry.second < at) entry = {0, at + keptFor};
      entry.first += units;
      if (c.counts.size() > c.sweepAt) {
        std::erase_if(c.counts, [at](const auto& count) { return count.second.second < at; });
        c.sweepAt = std::max<std::size_t>(4096, 2 * c.counts.size());
      }
      double kept = 1;
      for (const auto& [key, a] : active)
        if (a.fault->kind == Trouble::counterLose) kept *= 1 - std::min(1.0, a.fault->factor);
      if (kept < 1 && !network.bernoulli(kept)) return;
      counterSays(g, life, ref, CountEnd::ok, entry.first);
    });
  }
  void counterSays(std::uint32_t g, std::uint64_t life, SlotRef ref, CountEnd end, double total) {
    agenda.after(delay(), [this, g, life, ref, end, total] { counted(g, life, ref, end, total); });
  }
  void counted(std::uint32_t g, std::uint64_t life, SlotRef ref, CountEnd end, double total) {
    Node& node = nodes[g];
    if (node.life != life || node.state == Node::State::down) return;
    const Call* const at = node.calls.find(ref);
    if (!at) return;
    const Call call = *at;
    node.calls.drop(ref);
    node.doorman->counted(agenda.now(), call.name, end, total, agenda.now() - call.madeAt);
    arm(node);
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
      agenda.at(from, [this, n, &f, random, lasts]() mutable { begin(n, f, random, lasts); });
    }
  }
  // NOLINTNEXTLINE(readability-function-size): becomes a class for each fault in part two (issue 30)
  void begin(std::size_t n, const Fault& f, RandomStream& random, Duration lasts) {
    Active a{&f, {}, static_cast<std::uint32_t>(random.below(sc.zones)), agenda.now() + lasts};
    const auto gatewayFault = [&] {
      return f.kind == Trouble::gatewayKill || f.kind == Trouble::gatewayRestart ||
             f.kind == Trouble::discoveryRefuse || f.kind == Trouble::counterSplit;
    };
    if (gatewayFault()) {
      a.marked = mark(nodes.size(), f.share, random);
    } else {
      // Only hosts that are there can be met.
      std::vector<std::uint32_t> up;
      for (std::uint32_t m = 0; m < machines.size(); ++m)
        if (machines[m].state == Machine::State::up && machines[m].serving) up.push_back(m);
      const std::vector<char> some = mark(up.size(), f.share, random);
      a.marked.assign(machines.size(), 0);
      for (std::size_t i = 0; i < up.size(); ++i) a.marked[up[i]] = some[i];
    }
    const auto eachMarked = [&a](auto what) {
      for (std::uint32_t i = 0; i < a.marked.size(); ++i)
        if (a.marked[i]) what(i);
    };
    print(7000 + n);
    switch (f.kind) {
      case Trouble::gatewayKill:
        eachMarked([&](std::uint32_t g) { die(nodes[g]); });
        break;
      case Trouble::gatewayRestart:
        restartInSteps(f, a, lasts);
        break;
      case Trouble::hostKill:
        eachMarked([&](std::uint32_t m) { killMachine(m, Machine::State::dead); });
        break;
      case Trouble::zoneLoss:
        for (std::uint32_t m = 0; m < machines.size(); ++m) {
          a.marked[m] = machines[m].zone == a.zone && machines[m].state == Machine::State::up;
          if (a.marked[m]) killMachine(m, Machine::State::dead);
        }
        break;
      case Trouble::hostReplace:
        replaceInSteps(f, a, lasts);
        break;
      case Trouble::counterEmpty:
        for (CounterState& c : counters) c.counts.clear();
        break;
      case Trouble::counterSplit:
        counters[1].counts.clear();
        break;
      default:
        break;
    }
    active.emplace(n, std::move(a));
    agenda.after(lasts, [this, n] { end(n); });
  }
  void end(std::size_t n) {
    const Active a = std::move(active.at(n));
    active.erase(n);
    print(8000 + n);
    for (std::uint32_t i = 0; i < a.marked.size(); ++i) {
      if (!a.marked[i]) continue;
      if (a.fault->kind == Trouble::gatewayKill && nodes[i].state == Node::State::down) bear(nodes[i]);
      if ((a.fault->kind == Trouble::hostKill || a.fault->kind == Trouble::zoneLoss) &&
          machines[i].state == Machine::State::dead)
        startMachine(i);
      // What hung goes on where it was: it answers what it still holds.
      if (a.fault->kind == Trouble::hostHang && !marked(Trouble::hostHang, i)) wakeMachine(i);
    }
  }
  void wakeMachine(std::uint32_t m) {
    std::vector<SlotRef> held;
    jobs.each([&](SlotRef ref, Job& job) {
      if (job.machine == m && job.running) held.push_back(ref);
    });
    for (const SlotRef ref : held) agenda.after(jobs.find(ref)->work, [this, ref] { done(ref); });
  }
  void restartInSteps(const Fault& f, const Active& a, Duration lasts) {
    std::vector<std::uint32_t> who;
    for (std::uint32_t g = 0; g < a.marked.size(); ++g)
      if (a.marked[g]) who.push_back(g);
    for (std::size_t i = 0; i < who.size(); ++i)
      agenda.after(lasts * static_cast<int>(i * static_cast<std::size_t>(f.steps) / who.size()) / f.steps,
                   [this, g = who[i]] { leave(nodes[g]); });
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
      agenda.after(lasts * step / f.steps, [this, part] {
        std::vector<std::uint32_t> changed;
        for (const std::uint32_t m : part) {
          if (machines[m].state == Machine::State::gone) continue;
          changed.push_back(addMachine(machines[m].zone, true));
          machines[m].serving = false;
          changed.push_back(m);
          // Drained, it ends when the last that it may have been sent is over.
          agenda.after(sc.drainGrace + sc.longestDeadline(), [this, m] {
            killMachine(m, Machine::State::gone);
            machines[m].state = Machine::State::gone;
            change({m});
            agenda.after(std::chrono::seconds(30), [this, m] { ledger.hostForgotten({m}); });
          });
        }
        if (!changed.empty()) change(changed);
      });
    }
  }

  // ---- the run ----

  Tally run() {
    config = sc.config();
    drawCustomers();
    for (CounterState& c : counters) c.busyUntil.assign(static_cast<std::size_t>(sc.counterParts), kBegin);
    for (std::uint32_t h = 0; h < sc.hosts; ++h) addMachine(h % sc.zones, false);
    for (std::uint32_t g = 0; g < sc.gateways; ++g) nodes.emplace_back(*this, g, g % sc.zones);
    for (Node& node : nodes) bear(node);
    planFaults();
    nextArrival();
    const TimePoint until = kBegin + sc.length + sc.longestDeadline() + std::chrono::seconds(2);
    while (agenda.step(until)) ++tally.events;
    ledger.finish(agenda.now());
    tally.unitsSent = ledger.unitsSent(), tally.unitsBeyond = ledger.unitsBeyond();
    tally.worstWindow = ledger.worstWindow();
    tally.nearestCold = ledger.nearestCold();
    for (std::size_t r = 0; r < kRules; ++r) tally.breaches[r] = ledger.count(static_cast<Rule>(r));
    tally.first = ledger.first();
    for (Breach& b : tally.first) b.at = TimePoint(b.at - kBegin);
    return std::move(tally);
  }

  const Scenario& sc;
  const std::uint64_t seed;
  const Policy policy;
  const DoormanMaker& maker;
  Agenda agenda;
  Ledger ledger;
  Tally tally;
  RandomStream network{seed, "network"}, arrivals{seed, "arrivals"}, choices{seed, "choices"},
      works{seed, "works"}, lists{seed, "lists"}, lives{seed, "lives"};
  std::vector<double> weights, methodWeights, planWeights;
  core::SlotTable<Wish> wishes;
  core::SlotTable<Try> tries;
  std::unordered_map<std::uint64_t, SlotRef> tryOf;  // by id, while attempts of it are out; looked up only
  std::size_t tryOfSweep = 1024;
  std::uint64_t lastTry = 0;
  config::GatewayConfig config;
  std::deque<Node> nodes;
  std::vector<Machine> machines;
  core::SlotTable<Job> jobs;
  std::uint64_t generation = 1;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> changes;
  CounterState counters[2];
  std::map<std::size_t, Active> active;
};

// ---- a gateway's ways out ----

void Node::answerOk(SlotRef client, std::string_view, std::string_view) {
  const Try* const t = w.tries.find(client);
  if (!t) return;
  w.ledger.answered(w.agenda.now(), t->id, Answer::ok);
  w.agenda.after(w.delay(), [&world = w, client] { world.answerCame(client, Answer::ok, Duration{0}); });
}

void Node::answerRejected(SlotRef client, Duration comeBackAfter) {
  const Try* const t = w.tries.find(client);
  if (!t) return;
  w.ledger.answered(w.agenda.now(), t->id, Answer::rejected);
  w.agenda.after(w.delay(), [&world = w, client, comeBackAfter] {
    world.answerCame(client, Answer::rejected, comeBackAfter);
  });
}

void Node::answerFailed(SlotRef client) {
  const Try* const t = w.tries.find(client);
  if (!t) return;
  w.ledger.answered(w.agenda.now(), t->id, Answer::failed);
  w.agenda.after(w.delay(), [&world = w, client] { world.answerCame(client, Answer::failed, Duration{0}); });
}

std::variant<SlotRef, Outcome> Node::startAttempt(RequestId requestId, AttemptNumber attemptNumber,
                                                  SlotRef client, HostId host, AttemptDeadline) {
  const Try* const t = w.tries.find(client);
  if (!t) return Outcome::notSent;
  const std::string& address = doorman->addressOf(host);
  std::uint32_t m = 0;
  std::from_chars(address.data(), address.data() + address.size(), m);
  const Machine& machine = w.machines.at(m);
  auto& rest = resting[m];
  const TimePoint now = w.agenda.now();
  while (!rest.empty() && rest.front() + w.sc.idle / 2 <= now) {
    rest.pop_front();
    if (machine.state == Machine::State::up) --w.machines[m].connections;
  }
  const bool fresh = rest.empty();
  if (!fresh) rest.pop_back();
  const SlotRef ref = attempts.add(Attempt{requestId, attemptNumber, t->id, m, machine.life, fresh});
  w.tryOf[t->id.value] = client;
  if (w.tryOf.size() > w.tryOfSweep) {
    std::erase_if(w.tryOf, [this](const auto& at) { return !w.tries.find(at.second); });
    w.tryOfSweep = std::max<std::size_t>(1024, 2 * w.tryOf.size());
  }
  w.ledger.sent(now, t->id, attemptNumber.value, {m}, machine.zone, machine.cell);
  ++w.tally.attempts, ++w.second().attempts;
  if (attemptNumber.value > 0) ++w.tally.further;
  if (fresh) ++w.tally.connects, ++w.second().connects;
  w.print(20'000 + m);
  const Duration way = fresh ? 2 * w.delay() + w.delay() : w.delay();
  w.agenda.after(way, [&world = w, g = no, l = life, ref] { world.reachHost(g, l, ref); });
  return ref;
}

bool Node::closeAttempt(SlotRef, AttemptNumber, SlotRef link) {
  const Attempt* const a = attempts.find(link);
  if (!a) return true;
  const Attempt given = *a;
  attempts.drop(link);
  // What a new connection has not carried yet was never written whole.
  w.ledger.over(w.agenda.now(), given.tryId, given.no.value, false);
  w.dropAtHost(given);
  return true;
}

void Node::count(const CountName& name, double units, Duration keptFor) {
  ++w.tally.countCalls, ++w.second().countCalls;
  const SlotRef ref = calls.add(Call{name, w.agenda.now()});
  w.agenda.after(w.delay(), [&world = w, g = no, l = life, ref, name, units, keptFor] {
    world.counterCalled(g, l, ref, name, units, keptFor);
  });
  w.agenda.after(w.sc.counterTimeout,
                 [&world = w, g = no, l = life, ref] { world.counted(g, l, ref, CountEnd::unknown, 0); });
}

void Node::hostUnavailable(HostId host) {
  if (!doorman) return;
  const std::string& address = doorman->addressOf(host);
  std::uint32_t m = 0;
  const auto [end, error] = std::from_chars(address.data(), address.data() + address.size(), m);
  if (error != std::errc{}) return;
  const auto at = resting.find(m);
  if (at == resting.end()) return;
  if (w.machines[m].state == Machine::State::up)
    w.machines[m].connections -= static_cast<int>(at->second.size());
  resting.erase(at);
}

}  // namespace

Tally play(const Scenario& scenario, std::uint64_t seed, Policy policy, const DoormanMaker& doorman) {
  World world(scenario, seed, policy, doorman);
  return world.run();
}

}  // namespace merlinbridge::emulator
