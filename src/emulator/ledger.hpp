#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "emulator/scenario.hpp"

namespace merlinbridge::emulator {

using TryId = Id<struct TryKind>;  // one try of a client; each has a name of its own
using MachineNo = Id<struct MachineNoKind, std::uint32_t>;
using GatewayNo = Id<struct GatewayNoKind, std::uint32_t>;

enum class Rule { lost, twice, drain, cold, ceiling };
inline constexpr std::size_t kRules = 5;
std::string_view wordOf(Rule);

enum class Answer { ok, rejected, failed };

struct Breach {
  TimePoint at;
  Rule rule;
  TryId attemptId;  // 0 where it is no single request's
  std::string what;
};

// What really happened, and whether the five rules were kept. It is told by the machines and the network,
// never by a gateway's decisions, and knows nothing of them. What it remembers is bounded by what is in
// flight.
class Ledger {
 public:
  explicit Ledger(const Scenario&);

  struct Asked {
    GatewayNo gateway;
    std::uint32_t method = 0, plan = 0;
    std::uint64_t customer = 0;
    double units = 0;
    TimePoint deadline;
  };
  void taken(TimePoint, TryId, const Asked&);
  void clientLeft(TimePoint, TryId);
  void answered(TimePoint, TryId, Answer);
  void gatewayDied(TimePoint, GatewayNo);

  void sent(TimePoint, TryId, std::uint32_t no, MachineNo, std::uint32_t zone, std::int64_t cell);
  // The whole of it is at the host. True: its units were inside the customer's quota. Empty: not its first.
  std::optional<bool> reached(TimePoint, TryId, std::uint32_t no);
  void ran(TimePoint, TryId, std::uint32_t no, MachineNo, std::uint32_t zone, std::int64_t cell);
  void served(TimePoint, TryId, std::uint32_t no);  // the host has written its answer
  // The gateway has it that this attempt is over; proven: by the protocol's table it has never run.
  void over(TimePoint, TryId, std::uint32_t no, bool proven);

  // Work has come to a host that started then. True: it is cold and falls over under it.
  bool hostAsked(TimePoint, MachineNo, TimePoint started, Duration work, bool told);
  void told(TimePoint, GatewayNo, MachineNo, bool serving);
  void hostForgotten(MachineNo);  // gone for so long that nobody speaks of it any more

  void finish(TimePoint);

  const std::vector<Breach>& first() const { return first_; }  // of each rule, the first few
  std::uint64_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t all() const;
  std::size_t held() const { return open_.size(); }

  // Units sent on, of the plan with a ceiling that came nearest to its bound or went furthest over it, in any
  // ten seconds: over what its rate and burst give.
  double worstWindow() const { return worstWindow_; }
  // What the cold host that came nearest to its budget, or went furthest over it, was sent: a share of that.
  double nearestCold() const { return nearestCold_; }
  double unitsSent() const { return unitsSent_; }
  double unitsBeyond() const { return unitsBeyond_; }
  std::uint64_t runsTwice() const { return runsTwice_; }
  // Would these units be inside the customer's quota, and its ceiling, right now?
  bool wouldFit(TimePoint, std::uint64_t customer, std::uint32_t plan, double units) const;
  // What a cold host may be sent in the time that the terms name, by the page's budget.
  double coldBudget(TimePoint now, TimePoint started) const;

 private:
  struct Out {
    MachineNo machine;
    std::uint32_t zone = 0;
    std::int64_t cell = 0;
    TimePoint sentAt;
    bool out = true, proven = false, served = false, ran = false;
  };
  struct Open {
    Asked asked;
    std::vector<Out> outs;
    bool answered = false, left = false, drawn = false;
  };
  struct Purse {
    double level, ceiling;
    TimePoint at;
    std::deque<std::pair<TimePoint, double>>
        window;  // units sent in the last ten seconds, where there is a ceiling
    double inWindow = 0;
    TimePoint seen;
  };
  struct Cold {
    struct Part {
      TimePoint at;
      double rpcs = 0;    // of mean work
      bool told = false;  // the gateway had been told of the start
    };
    std::deque<Part> parts;
    double sum = 0, sumTold = 0;
  };

  Open* find(TryId);
  void close(TryId);
  void breach(TimePoint, Rule, TryId, std::string what);
  bool mayRepeat(TimePoint, const Open&, std::uint32_t zone, std::int64_t cell) const;
  bool mayHaveRun(const Open&) const;
  std::optional<bool> draw(TimePoint, TryId, Open&);

  const Scenario& s_;
  double capacity_ = 1, meanWork_ = 1;  // requests a second that a warm host carries; seconds of one
  std::unordered_map<std::uint64_t, Open> open_;
  std::unordered_map<std::uint64_t, Purse> purses_;
  std::size_t sweepAt_ = 1024;
  std::map<std::uint32_t, Cold> cold_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint> notServing_;  // gateway and machine: told when
  std::vector<Breach> first_;
  std::uint64_t counts_[kRules] = {};
  double worstWindow_ = 0, nearestCold_ = 0, unitsSent_ = 0, unitsBeyond_ = 0;
  std::uint64_t runsTwice_ = 0;
};

}  // namespace merlinbridge::emulator
