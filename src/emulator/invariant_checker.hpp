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

using ClientAttemptId = Id<struct ClientAttemptKind>;  ///< one try of a client; each has a name of its own
using HostNumber = Id<struct HostNumberKind, std::uint32_t>;
using GatewayNumber = Id<struct GatewayNumberKind, std::uint32_t>;

enum class Invariant { lost, duplicate, drain, cold, ceiling };
inline constexpr std::size_t kInvariants = 5;
std::string_view wordOf(Invariant);

enum class Answer { ok, rejected, failed };

struct Violation {
  TimePoint at;
  Invariant rule;
  ClientAttemptId attemptId;  ///< 0 where it is no single request's
  std::string what;
};

/// What really happened, and whether the five rules were kept. It is told by the machines and the network,
/// never by a gateway's decisions, and knows nothing of them. What it remembers is bounded by what is in
/// flight.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Scenario&);

  struct Asked {
    GatewayNumber gateway;
    std::uint32_t method = 0, plan = 0;
    std::uint64_t customer = 0;
    double units = 0;
    TimePoint deadline;
  };
  void taken(TimePoint, ClientAttemptId, const Asked&);
  void clientLeft(TimePoint, ClientAttemptId);
  void answered(TimePoint, ClientAttemptId, Answer);
  void gatewayDied(TimePoint, GatewayNumber);

  void sent(TimePoint, ClientAttemptId, std::uint32_t no, HostNumber, std::uint32_t zone, std::int64_t cell);
  /// The whole of it is at the host. True: its units were inside the customer's quota. Empty: not its first.
  std::optional<bool> reached(TimePoint, ClientAttemptId, std::uint32_t no);
  void ran(TimePoint, ClientAttemptId, std::uint32_t no, HostNumber, std::uint32_t zone, std::int64_t cell);
  void served(TimePoint, ClientAttemptId, std::uint32_t no);  ///< the host has written its answer
  /// The gateway has it that this attempt is over; proven: by the protocol's table it has never run.
  void over(TimePoint, ClientAttemptId, std::uint32_t no, bool proven);

  /// Work has come to a host that started then. True: it is cold and falls over under it.
  bool hostAsked(TimePoint, HostNumber, TimePoint started, Duration work, bool told);
  void told(TimePoint, GatewayNumber, HostNumber, bool serving);
  void hostForgotten(HostNumber);  ///< gone for so long that nobody speaks of it any more

  void finish(TimePoint);

  const std::vector<Violation>& first() const { return first_; }  // of each rule, the first few
  std::uint64_t count(Invariant rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t all() const;
  std::size_t held() const { return open_.size(); }

  /// Units sent on, of the plan with a ceiling that came nearest to its bound or went furthest over it, in
  /// any ten seconds: over what its rate and burst give.
  double worstWindow() const { return worstWindow_; }
  /// What the cold host that came nearest to its budget, or went furthest over it, was sent: a share of that.
  double nearestCold() const { return nearestCold_; }
  double unitsSent() const { return unitsSent_; }
  double unitsBeyond() const { return unitsBeyond_; }
  std::uint64_t runsTwice() const { return runsTwice_; }
  /// Would these units be inside the customer's quota, and its ceiling, right now?
  bool wouldFit(TimePoint, std::uint64_t customer, std::uint32_t plan, double units) const;
  /// What a cold host may be sent in the time that the terms name, by the page's budget.
  double coldBudget(TimePoint now, TimePoint started) const;

 private:
  struct Out {
    HostNumber machine;
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
  struct CustomerState {
    double level, ceiling;
    TimePoint at;
    std::deque<std::pair<TimePoint, double>>
        window;  ///< units sent in the last ten seconds, where there is a ceiling
    double inWindow = 0;
    TimePoint seen;
  };
  struct Cold {
    struct Part {
      TimePoint at;
      double requests = 0;  ///< of mean work
      bool told = false;    ///< the gateway had been told of the start
    };
    std::deque<Part> parts;
    double sum = 0, sumTold = 0;
  };

  Open* find(ClientAttemptId);
  void close(ClientAttemptId);
  void violation(TimePoint, Invariant, ClientAttemptId, std::string what);
  bool mayRepeat(TimePoint, const Open&, std::uint32_t zone, std::int64_t cell) const;
  bool mayHaveRun(const Open&) const;
  std::optional<bool> draw(TimePoint, ClientAttemptId, Open&);

  const Scenario& s_;
  double capacity_ = 1, meanWork_ = 1;  ///< requests a second that a warm host carries; seconds of one
  std::unordered_map<std::uint64_t, Open> open_;
  std::unordered_map<std::uint64_t, CustomerState> customers_;
  std::size_t sweepAt_ = 1024;
  std::map<std::uint32_t, Cold> cold_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint>
      notServing_;  ///< gateway and machine: told when
  std::vector<Violation> first_;
  std::uint64_t counts_[kInvariants] = {};
  double worstWindow_ = 0, nearestCold_ = 0, unitsSent_ = 0, unitsBeyond_ = 0;
  std::uint64_t runsTwice_ = 0;
};

}  // namespace merlinbridge::emulator
