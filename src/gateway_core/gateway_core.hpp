#pragma once

#include <deque>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway_core/deadline_queue.hpp"
#include "gateway_core/request_parser.hpp"
#include "gateway_core/slot_table.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// What the core asks of its surroundings: sockets in the daemon, the wire in the simulator. The calls must
/// not call the core in turn. A SlotRef that is not valid any more is ignored.
class Transport {
 public:
  virtual ~Transport() = default;
  virtual void answerOk(SlotRef client, std::string_view body, std::string_view type) = 0;
  virtual void answerRejected(SlotRef client, Duration retryAfter) = 0;
  virtual void answerFailed(SlotRef client) = 0;
  /// Writes the client's request to that host. Either the connection that carries it, or the outcome that it
  /// had at once.
  virtual std::variant<SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                                      AttemptDeadline) = 0;
  /// Gives the attempt up. True: it has ended by that. False: its end is still to come.
  virtual bool closeAttempt(SlotRef client, AttemptNumber, SlotRef link) = 0;
  /// Whether not all of it is written yet: given up now, it never reaches a host.
  virtual bool isUnsent(SlotRef) { return false; }
  /// Whether the client waits; false where its connection has ended, be that end read yet or not.
  virtual bool clientConnected(SlotRef) { return true; }
  virtual void addToCounter(const CounterKey&, double units, Duration keepFor) = 0;
  virtual void hostUnavailable(HostId) = 0;  ///< It drains or is gone: idle connections to it may be closed.
  /// The decision engine has changed its state; see EngineEvent.
  virtual void report(EngineEvent) = 0;
  /// A host of the endpoint list is ignored: the table of hosts is full.
  virtual void endpointTableFull(std::string_view hostName) = 0;
};

/// What a host's answer says besides its outcome.
struct UpstreamResponse {
  std::string_view body, type;
  double trueUnits = 0;
  LoadReport load{};
  std::optional<Duration> took = {};  ///< Where the adapter knows it better than the clock does.
  bool answered = false;              ///< The client has had its answer without the core's doing.
};

/// Who ends attempts at their deadline.
enum class Timekeeper { core, adapter };

/// The core of the gateway, without I/O: the requests in numbered slots, the hosts' names and addresses, and
/// all deadlines. It carries the engine's decisions to the transport and hands back what came of them.
class GatewayCore final : private DecisionSink {
 public:
  GatewayCore(const config::GatewayConfig&, TimePoint now, DeadlineQueue&, Transport&,
              Timekeeper = Timekeeper::core);

  const NameTables& names() const { return names_; }
  const PolicySettings& settings() const { return settings_; }
  const std::string& addressOf(HostId host) const { return addresses_[host.value]; }
  const std::string& nameOf(HostId host) const { return hosts_.word(host); }
  HostId hostNamed(std::string_view name) const;  ///< Throws std::out_of_range.
  bool holds(RequestId requestId) { return find(requestId) != nullptr; }
  std::size_t unanswered() const { return unanswered_; }
  bool isPending(RequestId);  ///< It has had no answer, and its client is there to get one.

  RequestId requestArrived(TimePoint now, SlotRef client, Request);
  void clientLeft(TimePoint now, RequestId);
  void attemptEnded(TimePoint now, RequestId, AttemptNumber, Outcome, const UpstreamResponse& = {});
  void counterCallEnded(TimePoint now, const CounterKey&, CounterCallOutcome, double total, Duration took);
  void endpointsUpdated(TimePoint now, const config::EndpointList&);
  /// The process ends then: whatever is still without an answer gets one before.
  void setAnswerDeadline(TimePoint);

 private:
  struct Attempt {
    HostId host;
    TimePoint sentAt;
    SlotRef link;
    bool out = false;
  };
  struct PendingRequest {
    SlotRef client;
    TimePoint deadline;
    DeadlineQueue::Ticket by;
    bool answered = false;
    std::uint32_t out = 0;
    std::vector<Attempt> attempts;
  };

  void startAttempt(RequestId, HostId, AttemptDeadline) override;
  void cancel(RequestId, AttemptNumber) override;
  void reject(RequestId, Duration retryAfter) override;
  void fail(RequestId) override;
  void addToCounter(const CounterKey&, double units, Duration keepFor) override;
  void wakeAt(TimePoint, TimerId) override;
  void report(EngineEvent event) override { transport_.report(event); }

  PendingRequest* find(RequestId requestId) { return requests_.find(SlotRef::unpacked(requestId.value)); }
  PendingRequest* takeUnanswered(RequestId);
  void abandonAttempt(TimePoint now, RequestId, AttemptNumber, Outcome);
  void expire(TimePoint now, RequestId);
  void runDeferred(TimePoint now, RequestId);
  std::optional<HostId> hostIdFor(const config::Endpoint&);

  const PolicySettings settings_;
  const Duration answerSlack_, maxDeadline_;
  const bool enforcesDeadlines_;
  TimePoint now_, answerAllBy_ = TimePoint::max();
  NameTables names_;
  DeadlineQueue& deadlines_;
  Transport& transport_;
  SlotTable<PendingRequest> requests_;
  std::size_t unanswered_ = 0;
  std::deque<std::function<void(TimePoint)>> deferred_;  ///< ends that came while the module was still at it
  bool runningDeferred_ = false;
  NameTable<HostId> hosts_;
  std::vector<std::string> addresses_;
  std::vector<Duration> startedAt_;
  std::vector<char> gone_;
  std::vector<TimePoint> goneAt_;
  std::vector<std::uint32_t> outAt_;
  DecisionEngine engine_;
};

}  // namespace merlinbridge::core
