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

/// One attempt of a client; each has an id of its own.
using ClientAttemptId = Id<struct ClientAttemptKind>;
using HostNumber = Id<struct HostNumberKind, std::uint32_t>;
using GatewayNumber = Id<struct GatewayNumberKind, std::uint32_t>;

/// The rules that every gateway has to keep.
enum class Invariant {
  lost,       ///< Every request has one whole answer in time, and only after a host has made it.
  duplicate,  ///< No effect comes twice.
  drain,      ///< No request goes to a host after the grace time of its drain.
  slowStart,  ///< Gateways that know of a host's start do not overload it while it warms up.
  ceiling     ///< No customer gets beyond its hard ceiling and its slack.
};
inline constexpr std::size_t kInvariantCount = 5;
/// The name of a rule in tables and on the command line.
std::string_view wordOf(Invariant);

/// How a gateway answers a client attempt.
enum class Answer { ok, rejected, failed };

/// One breach of a rule.
struct Violation {
  TimePoint at;
  Invariant rule;
  ClientAttemptId attemptId;  ///< 0 if the breach is not of a single request.
  std::string what;
};

/// Judges whether the five rules are kept, from what really happened: it is notified by the emulated hosts,
/// clients and network, never by a gateway's decisions. What it remembers is bounded by what is in flight.
/// The scenario must outlive it.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Scenario&);

  /// A request as a gateway gets it.
  struct ReceivedRequest {
    GatewayNumber gateway;
    std::uint32_t method = 0;
    std::uint32_t plan = 0;
    std::uint64_t customer = 0;
    double units = 0;
    TimePoint deadline;
  };
  /// A gateway has the whole of a request.
  void requestReceived(TimePoint, ClientAttemptId, const ReceivedRequest&);
  /// The client's connection has ended before the answer.
  void clientDisconnected(TimePoint, ClientAttemptId);
  /// The gateway has written a final answer.
  void requestAnswered(TimePoint, ClientAttemptId, Answer);
  /// The gateway's process has ended: its requests are forgotten, none of them counts as lost.
  void gatewayDied(TimePoint, GatewayNumber);

  /// The gateway has started an attempt.
  void attemptStarted(TimePoint, ClientAttemptId, std::uint32_t attemptNumber, HostNumber, std::uint32_t zone,
            std::int64_t cell);
  /// The whole request is at a host. Returns whether its units were inside the customer's quota; empty if
  /// this is not the first attempt of the request to get there.
  std::optional<bool> requestDelivered(TimePoint, ClientAttemptId, std::uint32_t attemptNumber);
  /// The host has begun to work on it.
  void executionStarted(TimePoint, ClientAttemptId, std::uint32_t attemptNumber, HostNumber, std::uint32_t zone,
           std::int64_t cell);
  void responseSent(TimePoint, ClientAttemptId, std::uint32_t attemptNumber);  ///< The host has written its answer.
  /// The attempt is over for the gateway. `provenNotRun`: by the protocol's table it has never run.
  void attemptEnded(TimePoint, ClientAttemptId, std::uint32_t attemptNumber, bool provenNotRun);

  /// A request has come to a host that started at that time. Returns whether the host fails under it, which
  /// can be only during its slow start. `told`: discovery had told the gateway of the start.
  bool hostReceivedRequest(TimePoint, HostNumber, TimePoint started, Duration work, bool told);
  /// Discovery has told a gateway whether a host serves.
  void servingStateAnnounced(TimePoint, GatewayNumber, HostNumber, bool serving);
  void hostRemoved(HostNumber);  ///< The host has long been gone.

  /// The run is over: what is still without an answer after its time counts as lost.
  void finish(TimePoint);

  const std::vector<Violation>& firstViolations() const { return firstViolations_; }  ///< The first few of each rule.
  std::uint64_t count(Invariant rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t violationCount() const;
  /// Requests in flight.
  std::size_t openRequestCount() const { return open_.size(); }

  /// The most units that a customer with a ceiling got in any ten seconds, over what rate and burst of the
  /// ceiling give in that time.
  double worstWindow() const { return worstWindow_; }
  /// The most that a host in slow start was sent, over its budget.
  double peakSlowStartLoad() const { return peakSlowStartLoad_; }
  double unitsSent() const { return unitsSent_; }
  double unitsOverQuota() const { return unitsOverQuota_; }
  std::uint64_t duplicateExecutions() const { return duplicateExecutions_; }
  /// Whether these units would be inside the customer's quota and ceiling now.
  bool isWithinLimits(TimePoint, std::uint64_t customer, std::uint32_t plan, double units) const;
  /// Requests of mean work that a host in slow start may be sent in Scenario::tip.
  double slowStartBudget(TimePoint now, TimePoint started) const;

 private:
  struct Attempt {
    HostNumber host;
    std::uint32_t zone = 0;
    std::int64_t cell = 0;
    TimePoint sentAt;
    bool inProgress = true;
    bool provenNotRun = false;
    bool served = false;
    bool ran = false;
  };
  struct OpenRequest {
    ReceivedRequest request;
    std::vector<Attempt> attempts;
    bool answered = false;
    bool clientDisconnected = false;
    bool quotaCharged = false;
  };
  struct CustomerState {
    double level = 0;
    double ceiling = 0;
    TimePoint at;
    std::deque<std::pair<TimePoint, double>>
        window;  ///< units sent in the last ten seconds, where there is a ceiling
    double unitsInWindow = 0;
    TimePoint lastRequestAt;
  };
  struct SlowStartWindow {
    struct Arrival {
      TimePoint at;
      double requests = 0;  ///< of mean work
      bool told = false;    ///< the gateway had been told of the start
    };
    std::deque<Arrival> arrivals;
    double sum = 0;
    double announcedLoad = 0;
  };

  OpenRequest* find(ClientAttemptId);
  void close(ClientAttemptId);
  void violation(TimePoint, Invariant, ClientAttemptId, std::string what);
  bool isRepeatAllowed(TimePoint, const OpenRequest&, std::uint32_t zone, std::int64_t cell) const;
  bool mayHaveRun(const OpenRequest&) const;
  std::optional<bool> chargeQuota(TimePoint, ClientAttemptId, OpenRequest&);
  void forgetIdleCustomers(TimePoint);

  const Scenario& scenario_;
  double capacity_ = 1;  ///< Requests of mean work a second that a host serves after its slow start.
  double meanWork_ = 1;  ///< Seconds.
  std::unordered_map<std::uint64_t, OpenRequest> open_;
  std::unordered_map<std::uint64_t, CustomerState> customers_;
  std::size_t nextSweepSize_ = 1024;
  std::map<std::uint32_t, SlowStartWindow> slowStarting_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint>
      notServing_;  ///< gateway and machine: told when
  std::vector<Violation> firstViolations_;
  std::uint64_t counts_[kInvariantCount] = {};
  double worstWindow_ = 0;
  double peakSlowStartLoad_ = 0;
  double unitsSent_ = 0;
  double unitsOverQuota_ = 0;
  std::uint64_t duplicateExecutions_ = 0;
};

}  // namespace merlinbridge::emulator
