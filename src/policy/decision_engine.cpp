// Every decision of a gateway. Whoever hosts it (src/gateway_core, for sockets and for the bench) makes one
// DecisionEngine per process, calls one member per input, in order and with the time, and carries out what
// comes through DecisionSink. The interface is src/policy_api/decision_engine.hpp; the words in it are in
// src/terms.hpp, src/ids.hpp and src/moment.hpp.
#include "policy_api/decision_engine.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace merlinbridge {
namespace {

constexpr Duration kSlot = std::chrono::seconds(10);  // the design's slot of a count
constexpr double kKept = 3.0;   // slots for which a count is kept, and a customer who sends no request
constexpr double kRound = 2.0;  // a round, in patiences of the counter
// Calls to the counter in one patience, of all gateways: at first, and what one more of them is worth.
constexpr double kCallsFirst = 12.0, kCallsMost = 120.0, kCallsLeast = 0.6;
constexpr double kCallsCut = 0.7, kLate = 0.5;     // once a patience at most, at an answer so late in it
constexpr double kCallsGain = 0.1, kQuick = 0.25;  // of one call, for each at an answer so early in it
constexpr int kSilentAfter = 3;                    // failed rounds, as in the design
constexpr double kUseWeight = 0.3;                 // of the use share in the slice; the rest goes evenly
constexpr double kForesee = 0.5;                   // of what others are likely to use
constexpr double kLookBack = 8.0;                  // rounds over which use is remembered

// Of one answer in a host's latency, and most where answers come seldom, over so many seconds.
constexpr double kLatencyGain = 0.06, kLatencyMost = 0.3, kLatencySpan = 10.0;
constexpr double kWeightSpan = 4.0;  // most and least square of a host's speed, over the mean's
constexpr double kTriedSpan = 20.0;  // seconds over which it counts what came of a kind of request at a host,
constexpr double kDoubt = 0.1;       // of a request that went well: what is trusted whatever came
constexpr double kPressFrom = 0.6;   // of the room: from here the cheapest are rejected
constexpr double kLeastRoom = 3.0;   // attempts a host, of all gateways, whatever has been seen
constexpr double kHostSpan = 4.5;    // seconds over which a host's answers are counted
constexpr double kSpare = 2.0;       // attempts over that at a host, of all gateways
constexpr double kHostWait = 0.2;    // of the soft deadline: what may stand at one host
constexpr double kColdSafety = 0.8;  // of the cold budget
constexpr double kColdParts = 2;     // the time for which that holds comes in so many parts
constexpr double kColdLeast = 1.5;   // requests in that time, of all gateways, whatever has been seen
constexpr double kCarriedSpan = 20;  // seconds over which it is counted what warm hosts carry
constexpr double kSitOut = 4.0,
                 kSitOutMost = 32.0;    // connect timeouts a failed host sits out; most times that
constexpr double kFullest = 2.0;        // times full, the most that one report counts for
constexpr double kSilentHost = 5.0;     // usual latencies without a word from a host that owes one
constexpr double kTakeBack = 2.0;       // as long without a word until what it owes is taken back
constexpr double kFurtherShare = 0.1;   // further attempts for overdue ones, of all attempts
constexpr double kFurtherStore = 10.0;  // of them at once
constexpr Duration kSweep = std::chrono::milliseconds(50);

// A figure that counts what happened lately.
struct Recent {
  double sum = 0;
  TimePoint at{};
  double read(TimePoint now, double span) const { return sum * std::exp(-seconds(now - at) / span); }
  void add(TimePoint now, double span, double n) {
    sum = read(now, span) + n;
    at = now;
  }
};

// What this gateway may still send a cold host until that time.
struct ColdPart {
  double left = 0;  // units; under 0: sent ahead of the next part
  TimePoint ends{};
};

struct Tried {
  Recent well, badly;  // what came of one kind of request at one host
};

// What this gateway knows of one customer.
struct Book {
  const Plan* plan = nullptr;
  CustomerId customer;
  double gateways = 1;
  double level = 0;  // copy of the bucket
  TimePoint levelAt{};
  double ceiling = 0;  // this gateway's part of the hard ceiling
  TimePoint ceilingAt{};
  int open = 0;                        // attempts out
  double pending = 0;                  // units not yet published
  double grant = 0;                    // what is left of this gateway's slice
  bool first = true;                   // no request has passed yet in this round
  double ownRate = 0, othersRate = 0;  // use a second, over the look-back
  double ownUse = 0, othersUse = 0;    // since the last round
  double foreseen = 0;                 // of the others' use since then, already off the level
  bool known = false;                  // the counts have been read since this customer was new
  int failed = 0;                      // rounds in a row
  bool asking = false, waiting = false, busy = false;
  TimePoint lastRound{}, roundAt{}, lastSeen{};
  SlotId slot{-1};
  double ownInSlot = 0, othersInSlot = 0;
  bool silent = false;  // decided by the divided quota
};

struct Attempt {
  HostId host;
  TimePoint sentAt;
  std::function<void(const AttemptResult&)> next;  // what its end leads to
  bool out = true, ran = false;                    // still out; may have run
};

struct PendingRequest {
  Request asked;
  TimePoint came;
  Book* book;
  std::vector<Attempt> attempts;
  bool done = false;  // it has had its final answer
  bool mayHaveRun() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& c) { return c.out || c.ran; });
  }
  int out() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [](auto& c) { return c.out; }));
  }
};

}  // namespace

struct DecisionEngine::Impl {
  const PolicySettings settings;
  DecisionSink& port;
  std::ranlux24_base chance;
  const TimePoint born;
  TimePoint now = born;

  std::map<CustomerId, Book> books;
  std::unordered_map<std::uint64_t, PendingRequest> requests;
  std::map<CountName, std::deque<std::function<void(CountEnd, double)>>> asked;
  std::unordered_map<std::uint64_t, std::function<void()>> timers;
  std::uint64_t lastTimer = 0;
  // Rounds that are due wait for a call; calls in one patience, in hand now, and when they were cut last.
  std::deque<Book*> due;
  double calls = kCallsFirst / settings.gateways, callsInHand = 1;
  TimePoint callsAt = born, callsCut{}, lastGood = born;
  int failedInRow = 0;
  bool pumping = false, sweeping = false;

  // Hosts: parallel arrays by HostId.
  std::vector<char> serving, newcomer;  // newcomer: has had no turn in the rotation yet
  std::vector<ZoneId> zone;
  std::vector<CellId> cell;
  std::vector<std::optional<TimePoint>> started;
  std::vector<double> latency, credit;
  std::vector<int> out, unreached;  // attempts out; and in a row those that found no way to it
  std::vector<TimePoint> benchedUntil, heard;
  std::vector<ColdPart> coldParts;
  std::vector<std::size_t> able;  // those that may be asked now
  std::vector<Recent> answeredAt;
  std::vector<std::vector<Tried>> kinds;  // at each host: methods, then plans
  Recent carried;  // units answered by a warm host, on the mean, and how many of these there are
  int warmHosts = 0;
  double meanLatency = 0, usualUnits = 1;
  int outTotal = 0, servingHosts = 0;
  std::vector<double> places;              // whole ones at all hosts, for each method, at the last sweep
  Recent answered, reports, reportedFull;  // answers of all hosts, and how full these said they are
  double further = kFurtherStore;          // attempts for overdue ones that may be made now
  std::deque<std::pair<std::uint64_t, std::size_t>> inOrder;  // attempts as they went out

  Impl(PolicySettings t, std::uint64_t seed, TimePoint at, DecisionSink& p)
      : settings(std::move(t)), port(p), chance(static_cast<std::uint32_t>(seed)), born(at) {}

  // Staff are told when it begins and ends, at most once a slot.
  struct Told {
    const char *began, *ended;
    bool on = false;
    TimePoint at{};
  };
  Told silence{"counter silent: quotas divided among the gateways", "counter back: quotas shared again"};
  Told shedding{"hosts have no room: requests rejected, the least worth first", "hosts have room again"};
  TimePoint lastShed{}, booksSwept{};

  void tell(Told& told, bool on) {
    if (told.on == on || (told.at != TimePoint{} && now - told.at < kSlot)) return;
    told.on = on, told.at = now;
    port.note(on ? told.began : told.ended);
  }

  void after(TimePoint at, std::function<void()> what) {
    timers.emplace(++lastTimer, std::move(what));
    port.wakeAt(std::max(at, now), {lastTimer});
  }

  // ---- hosts ----

  void learn(const HostUpdate& line) {
    const std::size_t h = line.host.value;
    if (h >= serving.size()) {
      const auto grow = [n = h + 1](auto&... arrays) { (arrays.resize(n), ...); };
      grow(serving, newcomer, zone, cell, started, latency, credit, out, unreached, benchedUntil, heard,
           coldParts, answeredAt, kinds);
      for (auto& tried : kinds) tried.resize(settings.methods.size() + settings.plans.size());
    }
    if (line.started != started[h] || !serving[h]) {  // new or back: nothing seen of it holds any more
      std::fill(kinds[h].begin(), kinds[h].end(), Tried{});
      latency[h] = unreached[h] = 0, benchedUntil[h] = TimePoint{}, newcomer[h] = 1, answeredAt[h] = Recent{};
    }
    servingHosts += line.serving - serving[h];
    serving[h] = line.serving, zone[h] = line.zone, cell[h] = line.cell, started[h] = line.started;
  }

  // The least share of its capacity that a host has by now.
  double warmth(std::size_t h) const {
    if (!started[h] || settings.slowStartTime <= Duration{0}) return 1;
    const double ramp = std::clamp(seconds(now - *started[h]) / seconds(settings.slowStartTime), 0.0, 1.0);
    return settings.startCapacity + (1 - settings.startCapacity) * ramp;
  }

  // Guards against pushing over a cold host by the sum of all gateways, under uneven traffic and bursts: each
  // keeps to its part of what warm hosts are seen to carry, retries and hedges in it, half of the stated
  // time after the other. What it doesn't use lapses. A part under one request is drawn for, once; nothing is
  // granted ahead. Seen nothing yet, all together may send it a little, which no host falls over.
  bool coldRoom(std::size_t h, double units) {
    if (warmth(h) >= 1) return true;
    ColdPart& part = coldParts[h];
    if (now >= part.ends) {
      const double span =
          kCarriedSpan * (1 - std::exp(-std::max(seconds(now - born), kHostSpan) / kCarriedSpan));
      const double rate = settings.overloadMultiple * warmth(h) * carried.read(now, kCarriedSpan) / span;
      const double least = kColdLeast * usualUnits / settings.gateways;
      part.left = std::min(part.left, 0.0) +
                  std::max(least, kColdSafety * rate * seconds(settings.overloadWindow)) / kColdParts;
      part.ends = now + scaled(settings.overloadWindow, 1 / kColdParts);
    }
    if (part.left < units)
      part.left = part.left > 0 && bernoulli(part.left / units) ? units : std::min(part.left, 0.0);
    return part.left >= units;
  }

  double weight(std::size_t h) const {
    const double speed = latency[h] > 0 && meanLatency > 0 ? meanLatency / latency[h] : 1;
    return warmth(h) * warmth(h) * std::clamp(speed * speed, 1 / kWeightSpan, kWeightSpan);
  }

  // Guards against hosts that fail, leave unanswered or reject one method or one plan while they serve the
  // rest: they are passed over for that kind alone, by chance, by what lately came of it. Hurts
  // a host seen seldom for one chance error.
  double trust(std::size_t h, const Request& a) const {
    double share = 1;
    for (const std::size_t kind : {std::size_t{a.method.value}, settings.methods.size() + a.plan.value}) {
      const Tried& tried = kinds[h][kind];
      if (tried.badly.sum <= 0) continue;
      const double well = tried.well.read(now, kTriedSpan) + kDoubt;
      share *= well / (well + tried.badly.read(now, kTriedSpan));
    }
    return share * share;
  }

  // A host that owes an answer and has not said a word for long, whatever the cause.
  bool mute(std::size_t h, double times = 1) const {
    return out[h] > 0 && meanLatency > 0 && seconds(now - heard[h]) > times * kSilentHost * meanLatency;
  }

  // Guards against a host that jams, whatever slows it: what it owes stays under what it has lately answered
  // in the time that an answer may wait. Hurts a host that was asked little: more comes to it by and by.
  double roomOf(std::size_t h, const Method& m) const {
    const double rate = answeredAt[h].read(now, kHostSpan) / kHostSpan;
    return std::max(kLeastRoom / settings.gateways, rate * kHostWait * seconds(m.softDeadline)) +
           kSpare / settings.gateways;
  }

  // The weighted rotation over the hosts that may be asked. Bent only to pass over those that sit out,
  // that are mute, or that have no room.
  std::optional<std::size_t> pick(const PendingRequest& requestId) {
    const Method& method = settings.methods[requestId.asked.method.value];
    able.clear();
    double total = 0;
    warmHosts = 0;
    for (std::size_t h = 0; h < serving.size(); ++h) warmHosts += serving[h] && warmth(h) >= 1;
    for (std::size_t h = 0; h < serving.size(); ++h) {
      if (!serving[h] || !mayRepeatAt(requestId, method, h)) continue;
      if (!requestId.attempts.empty() && requestId.attempts.back().host.value == h) continue;
      if (benchedUntil[h] > now || mute(h)) continue;
      if (out[h] + 1 > std::max(1.0, roomOf(h, method))) continue;
      if (const double share = trust(h, requestId.asked); share < 1 && !bernoulli(share)) continue;
      const double w = weight(h);
      // Guards against many gateways that give the same host its turn at once: its place in the rotation
      // is drawn, be it that this gateway has just started or that the host has.
      if (std::exchange(newcomer[h], 0)) credit[h] = -servingHosts * uniform01();
      credit[h] += w, total += w;
      able.push_back(h);
    }
    while (!able.empty()) {
      const auto best = std::max_element(able.begin(), able.end(),
                                         [this](auto a, auto b) { return credit[a] < credit[b]; });
      const std::size_t h = *best;
      if (coldRoom(h, requestId.asked.units)) return credit[h] -= total, h;
      // Its turn stays owed until it has room.
      credit[h] -= weight(h), total -= weight(h);
      able.erase(best);
    }
    return std::nullopt;
  }

  // Guards against a repeat that no host can know for one: without its mark a deduplicated request has none.
  Repeat repeatOf(const PendingRequest& requestId) const {
    const Repeat repeat = settings.methods[requestId.asked.method.value].repeat;
    return repeat == Repeat::deduplicated && !requestId.asked.marked ? Repeat::nonIdempotent : repeat;
  }

  // May a further attempt go to this host, after those that may have run or still may?
  bool mayRepeatAt(const PendingRequest& requestId, const Method& m, std::size_t h) const {
    const Repeat repeat = repeatOf(requestId);
    if (repeat == Repeat::idempotent) return true;
    return std::all_of(requestId.attempts.begin(), requestId.attempts.end(), [&](const Attempt& c) {
      if (!c.out && !c.ran) return true;
      if (repeat == Repeat::nonIdempotent || now >= c.sentAt + m.window) return false;
      const std::size_t at = c.host.value;
      return m.group == Group::all || (m.group == Group::zone ? zone[at] == zone[h] : cell[at] == cell[h]);
    });
  }

  // Guards against a repeat that is dialling, or waits to be written, while the hosts forget the first.
  TimePoint windowEnd(const PendingRequest& requestId) const {
    const Method& m = settings.methods[requestId.asked.method.value];
    TimePoint end = TimePoint::max();
    for (const Attempt& c : requestId.attempts)
      if (repeatOf(requestId) == Repeat::deduplicated && (c.out || c.ran) && &c != &requestId.attempts.back())
        end = std::min(end, c.sentAt + m.window);
    return end;
  }

  void sawLatency(std::size_t h, double took, TimePoint heardBefore = {}) {
    if (latency[h] <= 0) latency[h] = meanLatency > 0 ? meanLatency : took;
    const double gain =
        std::clamp(1 - std::exp(-seconds(now - heardBefore) / kLatencySpan), kLatencyGain, kLatencyMost);
    latency[h] += gain * (took - latency[h]);
    if (meanLatency <= 0) meanLatency = took;
    meanLatency += kLatencyGain / 4 * (took - meanLatency);
  }

  void sawEnd(const AttemptResult& end, const PendingRequest& requestId) {
    const std::size_t h = end.host.value;
    --out[h], --outTotal;
    if (end.outcome == Outcome::cancelled || end.outcome == Outcome::notSent) return;
    const TimePoint heardBefore = heard[h];
    const bool ok = end.outcome == Outcome::ok, full = end.outcome == Outcome::rejected;
    const auto tried = [&](std::size_t kind, bool badly) {
      (badly ? kinds[h][kind].badly : kinds[h][kind].well).add(now, kTriedSpan, 1);
    };
    if (ok || end.outcome == Outcome::error || end.outcome == Outcome::noAnswer)
      tried(requestId.asked.method.value, !ok);
    if (ok || full) tried(settings.methods.size() + requestId.asked.plan.value, full);
    if (end.outcome != Outcome::noAnswer && end.outcome != Outcome::noConnection) heard[h] = now;
    if (end.outcome == Outcome::ok) {
      sawLatency(h, seconds(end.took), heardBefore);
      answeredAt[h].add(now, kHostSpan, 1);
      answered.add(now, kHostSpan, 1);
      unreached[h] = 0;
      if (end.load.held && end.load.perSecond) sawReport(h, end.load, requestId.asked.method);
      usualUnits += kLatencyGain * (requestId.asked.units - usualUnits);
      if (warmth(h) >= 1) carried.add(now, kCarriedSpan, requestId.asked.units / std::max(1, warmHosts));
    } else if (end.outcome == Outcome::noConnection || end.outcome == Outcome::lost) {
      // Guards against gone hosts that are still listed, each found out anew by every gateway, over and over.
      const double times = std::min(kSitOutMost, std::exp2(unreached[h]++)) * (0.5 + uniform01());
      sitOut(h, scaled(settings.connectTimeout, kSitOut * times));
    }
  }
  void sitOut(std::size_t h, Duration span) { benchedUntil[h] = std::max(benchedUntil[h], now + span); }

  // Guards against few jammed hosts that make all look full: a report counts for so much and no more. And
  // against a jam that each gateway must find out: a host that queues more than it answers in a soft deadline
  // sits out until that is done and its rate has this gateway's turn. Hurts one that is well again at once.
  void sawReport(std::size_t h, const LoadReport& load, MethodId method) {
    const double soft = seconds(settings.methods[method.value].softDeadline);
    const double held = std::max(0.0, *load.held), rate = std::max(1e-3, *load.perSecond);
    reports.add(now, kHostSpan, 1);
    reportedFull.add(now, kHostSpan, std::min(kFullest, held / (rate * kHostWait * soft + kSpare)));
    if (load.queued.value_or(0) > 0 && held > rate * soft)
      sitOut(h,
             durationOf(std::min(kKept * seconds(kSlot), std::max(held, double(settings.gateways)) / rate)));
  }

  // ---- the customer's bucket ----

  double inSlot(SlotId slot) const { return seconds(now.time_since_epoch() - slot.value * kSlot); }
  SlotId slotNow() const { return {now.time_since_epoch() / kSlot}; }
  Duration round() const { return scaled(settings.counterTimeout, kRound); }
  double part(const Book& b) const { return b.known && !b.silent ? 1 : 1 / b.gateways; }

  Book& bookOf(const Request& a) {
    auto [at, isNew] = books.try_emplace(a.customer);
    Book& b = at->second;
    if (isNew) {
      b.plan = &settings.plans[a.plan.value];
      b.customer = a.customer;
      b.gateways = std::clamp(a.gateways, 1u, std::max(1u, settings.gateways));
      b.level = b.plan->burst / b.gateways;
      b.levelAt = b.roundAt = now;
      // Guards against a second ceiling after a restart: what an earlier life has sent is not known, so the
      // part starts as low as it may ever get, and has filled only since this gateway was born.
      b.ceiling = -b.plan->ceilingSlack / b.gateways;
      b.ceilingAt = born;
    }
    b.lastSeen = now;
    return b;
  }

  // All calls of three rounds have failed: no customer need find it out on its own.
  bool counterSilent() const {
    return failedInRow >= kSilentAfter && now - lastGood > kSilentAfter * round();
  }
  void divide(Book& b) {
    if (b.silent) return;
    if (b.known) b.level /= b.gateways;
    b.silent = true, b.known = false;
  }

  // Between rounds the copy refills by what the others are likely to leave. Guards against an old copy: a
  // bucket that others drain as fast as it fills does not look full. Hurts for a look-back when they stop.
  void refill(Book& b) {
    const Plan& p = *b.plan;
    const double span = seconds(now - b.levelAt),
                 others = std::min(p.rate * (1 - slice(b)), kForesee * b.othersRate);
    const double taken = part(b) < 1 ? 0 : others * span;
    // For the same reason the part of the bucket holds the largest request, though it fills no faster for it.
    const double most = std::max(p.burst * part(b), std::min(p.burst, settings.maxUnits));
    b.level = std::min(most, b.level + p.rate * part(b) * span - taken);
    b.grant = std::min(p.burst * slice(b), b.grant + p.rate * slice(b) * span);
    b.foreseen += taken;
    b.levelAt = now;
    if (counterSilent()) divide(b);
    b.ceiling =
        std::min(p.ceilingBurst, b.ceiling * b.gateways + p.ceilingRate * seconds(now - b.ceilingAt)) /
        b.gateways;
    b.ceilingAt = now;
  }

  double lookBack() const { return kLookBack * seconds(round()); }

  double slice(const Book& b) const {
    const double look = lookBack(), own = (b.ownRate * look + b.ownUse) / (look + seconds(now - b.roundAt));
    const double all = own + b.othersRate, even = 1 / b.gateways;
    return all > 0 ? kUseWeight * own / all + (1 - kUseWeight) * even : even;
  }

  bool hasRoom(const Book& b, double units) {
    if (b.plan->rate <= 0) return true;
    // A new customer's first request passes, in silence too: its burst over many gateways may not hold one.
    if (!b.known && b.first) return units <= b.plan->burst;
    if (b.level >= units) return b.first || part(b) < 1 || units <= b.grant;
    // Guards against parts smaller than one request, where many gateways see one customer seldom: once the
    // others may have used more than this request since the last total, what is left for this gateway goes by
    // chance.
    const bool blind =
        part(b) < 1 || seconds(now - b.roundAt) * std::min(b.othersRate, b.plan->rate) >= units;
    return blind && bernoulli(b.level / units);
  }
  double uniform01() { return double(chance()) / (double(chance.max()) + 1); }
  bool bernoulli(double odds) { return odds > uniform01(); }

  // A cap on open attempts goes the quota's way: the time that they were open is published, so the others'
  // use a second is what they have open on the mean. The last place goes by chance, one at least in silence.
  bool hasOpening(const Book& b) {
    const double left = part(b) < 1 ? std::max(1.0, b.plan->open / b.gateways) - b.open
                                    : b.plan->open - b.open - (sharesOpen(b) ? b.othersRate : 0);
    return bernoulli(left);
  }
  static bool sharesOpen(const Book& b) { return b.plan->rate <= 0 && b.plan->open > 0; }

  void draw(Book& b, double units) {
    b.ceiling -= units;
    if (b.plan->rate <= 0) return;
    b.level -= units, b.grant -= units, b.pending += units;
    b.first = false, b.ownUse += units;
  }

  // ---- rounds on the counter ----

  void keepRounds(Book& b) {
    if (!settings.counter || (b.plan->rate <= 0 && !sharesOpen(b))) return;
    b.busy = true;
    if (b.asking || b.waiting) return;
    b.waiting = true;
    const auto queue = [this, &b] { due.push_back(&b), pump(); };
    const TimePoint at = b.lastRound + round();
    at <= now ? queue() : after(at, queue);
  }

  // Guards against a crowded, slow or silent counter: calls are paced by how it answers, rounds wait their
  // turn. Hurts for a moment when the counter is back, until the pace has grown again.
  void pump() {
    const double patience = std::max(1e-3, seconds(settings.counterTimeout));
    callsInHand = std::min(std::max(1.0, calls), callsInHand + calls * seconds(now - callsAt) / patience);
    callsAt = now;
    while (!due.empty() && callsInHand >= 1) {
      Book& b = *due.front();
      due.pop_front();
      b.waiting = false;
      exchange(b);
    }
    if (due.empty() || pumping) return;
    pumping = true;
    // Guards against a timer due at once, over and over: less than a nanosecond may be missing.
    const Duration wait = std::max(Duration{1}, durationOf((1 - callsInHand) * patience / calls));
    after(now + wait, [this] { pumping = false, pump(); });
  }

  void pace(CountEnd end, Duration took) {
    failedInRow = end == CountEnd::ok ? 0 : failedInRow + 1;
    if (end == CountEnd::ok) lastGood = now;
    tell(silence, counterSilent());
    const double wait =
        end == CountEnd::ok ? seconds(took) / std::max(1e-3, seconds(settings.counterTimeout)) : 1;
    if (wait < kQuick || (wait < kLate && calls < 1.0 / settings.gateways)) {
      calls = std::min(calls + kCallsGain * std::min(1.0, calls), kCallsMost / settings.gateways);
    } else if (wait >= kLate && now >= callsCut + settings.counterTimeout) {
      calls = std::max(calls * kCallsCut, kCallsLeast / settings.gateways);
      callsCut = now;
    }
  }

  void ask(Book& b, SlotId slot, double units, std::function<void(double)> onTotal) {
    b.asking = true;
    callsInHand -= 1;
    const CountName name{CountName::What::use, b.customer, slot};
    asked[name].push_back([this, &b, units, onTotal = std::move(onTotal)](CountEnd end, double total) {
      b.asking = false;
      if (end == CountEnd::ok) return onTotal(total);
      b.pending += units;  // may have been added all the same: the count is high then, never low
      if (++b.failed >= kSilentAfter) divide(b);
      keepRounds(b);
    });
    port.addToCount(name, units, scaled(kSlot, kKept));
  }

  double takePending(Book& b) {
    if (b.silent) {  // less what the bucket has refilled since
      refill(b);
      b.pending = std::min(b.pending, std::max(0.0, b.plan->burst / b.gateways - b.level));
    }
    return std::exchange(b.pending, 0);
  }

  // One call a round. A slot's last total is not read when it turns, nor is the last slot for a new customer:
  // guards against a counter that is full of calls which only read. Hurts right after a slot has turned.
  void exchange(Book& b) {
    b.lastRound = now, b.busy = false;
    const SlotId slot = slotNow();
    const double units = takePending(b);
    ask(b, slot, units, [this, &b, slot, units](double total) {
      b.known ? apply(b, slot, units, total) : start(b, slot, units, total);
      endRound(b);
    });
  }

  // The others' use is the total less own adds.
  void apply(Book& b, SlotId slot, double units, double total) {
    refill(b);
    if (b.slot != slot) {  // what the slot before got after its last total is taken to be as foreseen
      const double age = std::max(1e-3, seconds(now - b.roundAt)), unread = std::max(0.0, age - inSlot(slot));
      b.slot = slot, b.ownInSlot = b.othersInSlot = 0;
      b.foreseen *= 1 - unread / age, b.othersUse += b.othersRate * unread;
    }
    b.ownInSlot += units;
    if (total < b.ownInSlot - 1e-3) b.ownInSlot = units, b.othersInSlot = 0;  // the count was lost meanwhile
    const double others = std::max(0.0, total - b.ownInSlot), fresh = std::max(0.0, others - b.othersInSlot);
    b.othersInSlot = others;
    b.level = std::clamp(b.level + b.foreseen - fresh, -settings.maxUnits, b.plan->burst);
    b.foreseen = 0, b.othersUse += fresh;
  }

  // The first total of a customer that was new, or was decided in silence.
  void start(Book& b, SlotId slot, double units, double total) {
    refill(b);
    const Plan& p = *b.plan;
    const double in = inSlot(slot);
    const double seen = std::clamp(p.burst - total + p.rate * in, 0.0, p.burst) - b.pending;
    b.level = b.silent ? std::min(seen, b.level * b.gateways) : seen;
    b.known = true, b.silent = false, b.slot = slot;
    b.ownInSlot = units, b.othersInSlot = std::max(0.0, total - units);
    b.foreseen = b.othersUse = 0;
    const double span = in + (p.rate > 0 ? p.burst / p.rate : 0);  // the bucket started full
    b.ownRate = b.ownUse / span, b.othersRate = b.othersInSlot / span;
    b.ownUse = 0, b.roundAt = now;
  }

  void endRound(Book& b) {
    b.failed = 0;
    if (const double span = seconds(now - b.roundAt); span > 0) {
      const double news = 1 - std::exp(-span / lookBack());
      b.ownRate += news * (b.ownUse / span - b.ownRate);
      b.othersRate += news * (b.othersUse / span - b.othersRate);
    }
    b.ownUse = b.othersUse = 0, b.roundAt = now;
    b.grant = slice(b) * std::max(0.0, b.level);
    b.first = true;
    if (b.busy) keepRounds(b);
  }

  // ---- a request's life ----

  // How much of the hosts' room is taken. What hosts tell of their load comes late, what is out here may be a
  // handful: where there are both, half of each. Guards against jams at more gateways than one can see.
  double pressure(const Method& m) const {
    const double wait = kHostWait * seconds(m.softDeadline), hosts = servingHosts / double(settings.gateways);
    const auto lately = [this](const Recent& of) { return of.read(now, kHostSpan); };
    const double room = std::max(kLeastRoom * hosts, lately(answered) / kHostSpan * wait) + kSpare * hosts;
    const double whole = places.empty() ? room : std::min(room, places[&m - settings.methods.data()]);
    const double own = whole > 0 ? outTotal / whole : 0, n = lately(reports);
    return n < 1 ? own : (own + 2 * lately(reportedFull) / n) / 3;
  }

  double standing(const Request& a) const {
    double most = 0;
    for (const Method& m : settings.methods)
      for (const Plan& p : settings.plans) most = std::max(most, m.utility * p.price);
    const double mine = settings.methods[a.method.value].utility * settings.plans[a.plan.value].price;
    return most > 0 ? mine / most : 1;
  }

  void arrive(const Request& a) {
    const Method& method = settings.methods[a.method.value];
    Book& b = bookOf(a);
    refill(b);
    keepRounds(b);
    const Plan& p = *b.plan;
    if (!hasRoom(b, a.units))
      return advise(a.requestId, p.rate > 0 ? std::max(0.0, a.units - b.level) / p.rate : 0);
    if (p.open > 0 && !hasOpening(b)) return advise(a.requestId, meanLatency);
    if (p.ceilingRate > 0 && b.ceiling - a.units < -p.ceilingSlack / b.gateways)
      return advise(a.requestId, (a.units - b.ceiling) * b.gateways / p.ceilingRate);
    if (pressure(method) >= kPressFrom + (1 - kPressFrom) * standing(a)) return shed(a, meanLatency);
    PendingRequest& requestId =
        requests.emplace(a.requestId.value, PendingRequest{a, now, &b, {}}).first->second;
    if (send(requestId)) return draw(b, a.units);
    shed(a, seconds(kSweep));
    requests.erase(a.requestId.value);
  }

  void shed(const Request& a, double wait) {
    lastShed = now;
    tell(shedding, true);
    keepSweeping();
    advise(a.requestId, wait);
  }

  void advise(RequestId requestId, double wait) {
    port.reject(requestId, settings.allowRetryAfter
                               ? std::clamp(durationOf(wait), Duration{0}, settings.maxRetryAfter)
                               : Duration{0});
  }

  bool send(PendingRequest& requestId) {
    const auto host = pick(requestId);
    if (!host) return false;
    const HostId to{static_cast<std::uint32_t>(*host)};
    const std::size_t no = requestId.attempts.size();
    requestId.attempts.push_back(
        {to, now, [this, &requestId, no](const AttemptResult& end) { settle(requestId, no, end); }});
    ++requestId.book->open;
    if (out[*host]++ == 0) heard[*host] = now;
    ++outTotal;
    if (warmth(*host) < 1) coldParts[*host].left -= requestId.asked.units;
    further = std::min(kFurtherStore, further + (no == 0 ? kFurtherShare : -1));
    inOrder.emplace_back(requestId.asked.requestId.value, no);
    port.startAttempt(requestId.asked.requestId, to, {requestId.asked.deadline, windowEnd(requestId)});
    keepSweeping();
    return true;
  }

  void settle(PendingRequest& requestId, std::size_t no, const AttemptResult& end) {
    Attempt& attempt = requestId.attempts[no];
    attempt.out = false;
    attempt.ran = end.outcome != Outcome::rejected && end.outcome != Outcome::noConnection &&
                  end.outcome != Outcome::notSent;
    --requestId.book->open;
    sawEnd(end, requestId);
    if (sharesOpen(*requestId.book))
      requestId.book->pending += seconds(end.took), requestId.book->ownUse += seconds(end.took);
    if (end.outcome == Outcome::ok && end.trueUnits > 0 && requestId.book->plan->rate > 0) {
      const double more = end.trueUnits - requestId.asked.units;
      requestId.book->level -= more, requestId.book->pending += more;
    }
    requestId.done = requestId.done || end.closed;
    if (!requestId.done && !(mayGoOn(requestId) && send(requestId)) && requestId.out() == 0)
      finish(requestId);
    if (requestId.done && requestId.out() == 0) requests.erase(requestId.asked.requestId.value);
  }

  bool mayGoOn(const PendingRequest& requestId) const {
    const Method& m = settings.methods[requestId.asked.method.value];
    return further >= 1 && requestId.attempts.size() < settings.maxAttempts &&
           now < std::min(requestId.came + m.softDeadline, requestId.asked.deadline);
  }

  void finish(PendingRequest& requestId) {
    const Method& m = settings.methods[requestId.asked.method.value];
    requestId.done = true;
    const Repeat repeat = repeatOf(requestId);
    if (repeat == Repeat::idempotent || !requestId.mayHaveRun() ||
        (repeat == Repeat::deduplicated && m.group == Group::all))
      advise(requestId.asked.requestId, 0);
    else
      port.fail(requestId.asked.requestId);
  }

  // Guards against answers that never come, whatever swallows them. A second copy where two may be out; else
  // the attempt is taken back, but only from a host that is mute. The store of further attempts keeps it
  // from becoming a storm when every host is slow, which is where it hurts: work done twice.
  void overdue(PendingRequest& requestId, std::size_t no) {
    sawLatency(requestId.attempts[no].host.value, seconds(now - requestId.attempts[no].sentAt));
    if (requestId.done || repeatOf(requestId) == Repeat::nonIdempotent || !mayGoOn(requestId)) return;
    if (settings.allowHedging)
      send(requestId);
    else if (settings.allowCancel)
      port.cancel(requestId.asked.requestId, {static_cast<std::uint32_t>(no)});
  }

  // ---- what is looked at now and then ----

  void keepSweeping() {
    if (sweeping) return;
    sweeping = true;
    after(now + kSweep, [this] { sweeping = false, sweep(); });
  }

  void sweep() {
    for (std::size_t n = inOrder.size(); n > 0; --n) {
      const auto [id, no] = inOrder.front();
      inOrder.pop_front();
      const auto at = requests.find(id);
      if (at == requests.end() || !at->second.attempts[no].out) continue;
      const Attempt& c = at->second.attempts[no];
      // Only one that a mute host owes is lost rather than queued.
      if (mute(c.host.value, kTakeBack) && seconds(now - c.sentAt) > kSilentHost * meanLatency)
        overdue(at->second, no);
      else
        inOrder.emplace_back(id, no);
    }
    places.assign(settings.methods.size(), 0);
    for (std::size_t h = 0; h < serving.size(); ++h)
      for (std::size_t m = 0; serving[h] && benchedUntil[h] <= now && m < places.size(); ++m)
        places[m] += std::floor(std::max(1.0, roomOf(h, settings.methods[m])));
    if (now - booksSwept > kSlot) {
      booksSwept = now;
      std::erase_if(books, [this](const auto& at) {
        const Book& b = at.second;
        return !b.asking && !b.waiting && b.open == 0 && now - b.lastSeen > scaled(kSlot, kKept);
      });
    }
    if (now - lastShed > kSlot) tell(shedding, false);
    if (outTotal > 0 || shedding.on) keepSweeping();
  }
};

DecisionEngine::DecisionEngine(PolicySettings settings, std::uint64_t seed, TimePoint now, DecisionSink& port)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now, port)) {}
DecisionEngine::~DecisionEngine() = default;

void DecisionEngine::hostsUpdated(TimePoint now, const std::vector<HostUpdate>& lines) {
  impl_->now = now;
  for (const HostUpdate& line : lines) impl_->learn(line);
}

void DecisionEngine::allHostsUpdated(TimePoint now, const std::vector<HostUpdate>& lines) {
  std::vector<char> named(impl_->serving.size(), 0);
  for (const HostUpdate& line : lines)
    if (line.host.value < named.size()) named[line.host.value] = 1;
  for (std::size_t h = 0; h < named.size(); ++h)
    if (!named[h]) impl_->servingHosts -= std::exchange(impl_->serving[h], 0);
  hostsUpdated(now, lines);
}

void DecisionEngine::requestArrived(TimePoint now, const Request& request) {
  impl_->now = now;
  impl_->arrive(request);
}

void DecisionEngine::attemptEnded(TimePoint now, const AttemptResult& end) {
  impl_->now = now;
  const auto at = impl_->requests.find(end.requestId.value);
  if (at == impl_->requests.end() || end.no.value >= at->second.attempts.size()) return;
  if (const auto next = std::exchange(at->second.attempts[end.no.value].next, nullptr)) next(end);
}

void DecisionEngine::answerStarted(TimePoint, RequestId, AttemptNumber) {}

void DecisionEngine::clientLeft(TimePoint now, RequestId requestId) {
  impl_->now = now;
  const auto at = impl_->requests.find(requestId.value);
  if (at != impl_->requests.end()) at->second.done = true;
}

void DecisionEngine::counted(TimePoint now, const CountName& name, CountEnd end, double total,
                             Duration took) {
  impl_->now = now;
  impl_->pace(end, took);
  const auto at = impl_->asked.find(name);
  if (at == impl_->asked.end()) return;
  const auto next = std::move(at->second.front());
  at->second.pop_front();
  if (at->second.empty()) impl_->asked.erase(at);
  next(end, total);
}

void DecisionEngine::probed(TimePoint, HostId, bool, const LoadReport&) {}

void DecisionEngine::woken(TimePoint now, TimerId timer) {
  impl_->now = now;
  const auto at = impl_->timers.find(timer.value);
  if (at == impl_->timers.end()) return;
  const auto what = std::move(at->second);
  impl_->timers.erase(at);
  what();
}

}  // namespace merlinbridge
