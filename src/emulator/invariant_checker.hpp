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

/// Identifies one attempt of a client; each attempt of a client request has its own id.
using ClientAttemptId = Id<struct ClientAttemptKind>;
using HostNumber = Id<struct HostNumberKind, std::uint32_t>;
using GatewayNumber = Id<struct GatewayNumberKind, std::uint32_t>;

/// The rules that every gateway must keep.
enum class Invariant {
  lost,       ///< Each request gets one complete answer in time; a success only if a host responded.
  duplicate,  ///< No request takes effect twice.
  drain,      ///< No request is sent to a draining host after the grace period.
  slowStart,  ///< Gateways that know of a host's start do not overload it in slow start.
  ceiling     ///< No customer exceeds its hard ceiling plus slack.
};
inline constexpr std::size_t kInvariantCount = 5;
/// The name of a rule in tables and on the command line.
std::string_view wordOf(Invariant);

/// How a gateway answers a client attempt.
enum class Answer { ok, rejected, failed };

/// One violation of an invariant.
struct Violation {
  TimePoint at;
  Invariant rule;
  ClientAttemptId attemptId;  ///< 0 if the violation concerns no single request.
  std::string what;
};

/// Checks the five invariants against what really happened: the emulated hosts, clients and network report to
/// it, never a gateway's own decisions. Its memory is bounded by the requests in flight.
/// The scenario must outlive it.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Scenario&);

  /// A request as a gateway receives it.
  struct ReceivedRequest {
    GatewayNumber gateway;
    std::uint32_t method = 0;
    std::uint32_t plan = 0;
    std::uint64_t customer = 0;
    double units = 0;
    TimePoint deadline;
  };
  /// A gateway has received a complete request.
  void requestReceived(TimePoint, ClientAttemptId, const ReceivedRequest&);
  /// The client's connection has closed before the answer.
  void clientDisconnected(TimePoint, ClientAttemptId);
  /// The gateway has written a final answer.
  void requestAnswered(TimePoint, ClientAttemptId, Answer);
  /// The gateway's process has died: its open requests are dropped, and none of them counts as lost.
  void gatewayDied(TimePoint, GatewayNumber);

  /// The gateway has started an attempt.
  void attemptStarted(TimePoint, ClientAttemptId, std::uint32_t attemptNumber, HostNumber, std::uint32_t zone,
                      std::int64_t cell);
  /// A host has received the complete request. Returns whether its units were within the customer's quota;
  /// empty if an earlier attempt of the same request has reached a host.
  std::optional<bool> requestDelivered(TimePoint, ClientAttemptId, std::uint32_t attemptNumber);
  /// The host has started to execute the request.
  void executionStarted(TimePoint, ClientAttemptId, std::uint32_t attemptNumber, HostNumber,
                        std::uint32_t zone, std::int64_t cell);
  /// The host has written its response.
  void responseSent(TimePoint, ClientAttemptId, std::uint32_t attemptNumber);
  /// The attempt has ended for the gateway. `provenNotRun`: by the protocol, its outcome proves that the
  /// request has not run at the host.
  void attemptEnded(TimePoint, ClientAttemptId, std::uint32_t attemptNumber, bool provenNotRun);

  /// A host that started at `started` has received a request. Returns whether the host fails from overload,
  /// which happens only during its slow start. `startAnnounced`: discovery had told the gateway of the start.
  bool hostReceivedRequest(TimePoint, HostNumber, TimePoint started, Duration work, bool startAnnounced);
  /// Discovery has told a gateway whether a host serves.
  void servingStateAnnounced(TimePoint, GatewayNumber, HostNumber, bool serving);
  void hostRemoved(HostNumber);  ///< The host was removed and no gateway uses it any more.

  /// The run has ended: requests still unanswered after their deadline and slack count as lost.
  void finish(TimePoint);

  /// The first few of each invariant.
  const std::vector<Violation>& firstViolations() const { return firstViolations_; }
  std::uint64_t count(Invariant rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  /// Violations of all invariants.
  std::uint64_t violationCount() const;
  /// Requests in flight.
  std::size_t openRequestCount() const { return open_.size(); }

  /// Highest ratio, over all customers with a hard ceiling, of the units sent in any ten seconds to the units
  /// that the ceiling's rate and burst allow in that time.
  double worstWindow() const { return worstWindow_; }
  /// Highest ratio of the load sent to a host in slow start to its slowStartBudget.
  double peakSlowStartLoad() const { return peakSlowStartLoad_; }
  double unitsSent() const { return unitsSent_; }
  double unitsOverQuota() const { return unitsOverQuota_; }
  std::uint64_t duplicateExecutions() const { return duplicateExecutions_; }
  /// Whether a request of that many units would now be within the customer's quota and hard ceiling.
  bool isWithinLimits(TimePoint, std::uint64_t customer, std::uint32_t plan, double units) const;
  /// Requests of mean work that a host in slow start may be sent within Scenario::overloadWindow.
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
    double quotaLevel = 0;    ///< Units left.
    double ceilingLevel = 0;  ///< Units left; below zero, slack is in use.
    TimePoint updatedAt;
    std::deque<std::pair<TimePoint, double>>
        window;  ///< Units sent in the last ten seconds, by time; only with a ceiling.
    double unitsInWindow = 0;
    TimePoint lastRequestAt;
  };
  struct SlowStartWindow {
    struct Arrival {
      TimePoint at;
      double requests = 0;          ///< Of mean work.
      bool startAnnounced = false;  ///< Discovery had told the gateway of the host's start.
    };
    std::deque<Arrival> arrivals;
    double load = 0;           ///< Requests of mean work in the window.
    double announcedLoad = 0;  ///< Of them, those from gateways that knew of the start.
  };

  OpenRequest* find(ClientAttemptId);
  void close(ClientAttemptId);
  void violation(TimePoint, Invariant, ClientAttemptId, std::string what);
  bool isRepeatAllowed(TimePoint, const OpenRequest&, std::uint32_t zone, std::int64_t cell) const;
  bool mayHaveRun(const OpenRequest&) const;
  std::optional<bool> chargeQuota(TimePoint, ClientAttemptId, OpenRequest&);
  void forgetIdleCustomers(TimePoint);

  const Scenario& scenario_;
  double capacity_ = 1;  ///< Requests of mean work per second that a host serves after its slow start.
  double meanWork_ = 1;  ///< Seconds.
  std::unordered_map<std::uint64_t, OpenRequest> open_;
  std::unordered_map<std::uint64_t, CustomerState> customers_;
  std::size_t nextSweepSize_ = 1024;
  std::map<std::uint32_t, SlowStartWindow> slowStarting_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, TimePoint>
      notServing_;  ///< By gateway and host: when discovery told the gateway that the host does not serve.
  std::vector<Violation> firstViolations_;
  std::uint64_t counts_[kInvariantCount] = {};
  double worstWindow_ = 0;
  double peakSlowStartLoad_ = 0;
  double unitsSent_ = 0;
  double unitsOverQuota_ = 0;
  std::uint64_t duplicateExecutions_ = 0;
};

}  // namespace merlinbridge::emulator
