#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway_core/deadline_queue.hpp"
#include "gateway_core/deferred_events.hpp"
#include "gateway_core/host_directory.hpp"
#include "gateway_core/request_parser.hpp"
#include "gateway_core/request_table.hpp"
#include "gateway_core/slot_table.hpp"
#include "gateway_core/transport.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// Who ends attempts and requests at their deadlines: the core, or the adapter, which then reports the end of
/// each attempt in time. With an adapter the core still fails a request that is unanswered after its
/// deadline.
enum class DeadlineEnforcer { core, adapter };

/// The core of the gateway, without I/O. It keeps the pending requests with their attempts (RequestTable),
/// the hosts (HostDirectory) and all deadlines, carries the decisions of the decision engine to the
/// transport, and hands the engine what came of them.
///
/// Promises: each request gets at most one final answer, and gets one by its deadline unless its client has
/// left; each attempt that the transport started is reported to the engine as ended exactly once.
///
/// Not thread-safe: all calls are made on one strand, that of the DeadlineQueue. Times are on the gateway's
/// clock and never go back from call to call. No call may be made from within a call to the transport. A
/// RequestId that is not known any more is ignored everywhere. Owns its engine; the queue and the transport
/// must outlive the core, and the core must outlive the callbacks that it has added to the queue.
class GatewayCore final : private DecisionSink {
 public:
  /// Starts with the hosts that the configuration names. Calls the transport.
  GatewayCore(const config::GatewayConfig&, TimePoint now, DeadlineQueue&, Transport&,
              DeadlineEnforcer = DeadlineEnforcer::core);

  /// The names that request parsing needs; valid as long as the core.
  const NameTables& names() const { return names_; }
  /// The settings in force; valid as long as the core.
  const PolicySettings& settings() const { return settings_; }
  /// The host's address as "10.0.0.4:8080"; empty if discovery named none. Valid until the next
  /// endpointsUpdated.
  const std::string& addressOf(HostId host) const { return hosts_.addressOf(host); }
  /// Discovery's name of the host. Valid until the next endpointsUpdated.
  const std::string& nameOf(HostId host) const { return hosts_.nameOf(host); }
  /// Returns whether the request is still in the table: it is unanswered or has attempts in flight.
  bool contains(RequestId requestId) { return requests_.find(requestId) != nullptr; }
  /// The number of requests without a final answer.
  std::size_t unanswered() const { return requests_.unanswered(); }
  /// Returns whether the request has no final answer yet and its client is still connected.
  bool isPending(RequestId);

  /// Takes a request from a client and returns its id. The request may have been answered, and its id may be
  /// unknown, by the time this returns. `request.requestId` is ignored; `request.deadline` is the client's.
  RequestId requestArrived(TimePoint now, SlotRef client, Request request);
  /// The client has disconnected: the request gets no answer, and its unsent attempts are given up.
  void clientLeft(TimePoint now, RequestId);
  /// An attempt has ended. Outcome::ok answers the client with the response, if the client has no answer yet.
  /// The end of an attempt that is not in flight is ignored.
  void attemptEnded(TimePoint now, RequestId, AttemptNumber, Outcome, const UpstreamResponse& = {});
  /// A call to the counter service has ended. `total` is the count after the call and is read only if the
  /// outcome is ok; `took` is the duration of the call.
  void counterCallEnded(TimePoint now, const CounterKey&, CounterCallOutcome, double total, Duration took);
  /// Applies a complete list or a change from discovery. Unsent attempts to hosts that no longer serve are
  /// given up, so that they may go elsewhere.
  void endpointsUpdated(TimePoint now, const config::EndpointList&);
  /// Answers every request, present and future, by `answerBy` at the latest; for a process that ends soon
  /// after.
  void setAnswerDeadline(TimePoint answerBy);

 private:
  void startAttempt(RequestId, HostId, AttemptDeadline) override;
  void cancel(RequestId, AttemptNumber) override;
  void reject(RequestId, Duration retryAfter) override;
  void fail(RequestId) override;
  void addToCounter(const CounterKey&, double units, Duration keepFor) override;
  void setTimer(TimePoint, TimerId) override;
  void report(EngineEvent event) override { transport_.report(event); }

  DeadlineQueue::Ticket addAnswerDeadlineTimer(TimePoint, RequestId);
  void answerDeadlineReached(TimePoint now, RequestId);
  void abandonAttempt(TimePoint now, RequestId, AttemptNumber, Outcome);
  void abandonAttemptsOfAnswered(TimePoint now, RequestId);
  std::vector<HostUpdate> applyEndpoints(TimePoint now, const std::vector<config::Endpoint>&);
  std::vector<bool> servingHosts(const config::EndpointList&, const std::vector<HostUpdate>&) const;
  void deferAbandoningUnsent(const std::vector<bool>& isServing);
  void finishInput(TimePoint now, std::optional<RequestId>);
  void handle(TimePoint now, const ClientGone&);
  void handle(TimePoint now, const AttemptEndedAtOnce&);
  void handle(TimePoint now, const AttemptAbandoned&);

  const PolicySettings settings_;
  const Duration answerSlack_;  ///< An answer so long after its deadline still counts.
  const bool enforcesDeadlines_;
  TimePoint now_;  ///< Of the input being handled, for calls of the engine that carry no time.
  TimePoint answerDeadline_ = TimePoint::max();  ///< Of all requests; see setAnswerDeadline.
  NameTables names_;
  DeadlineQueue& deadlines_;
  Transport& transport_;
  RequestTable requests_;
  DeferredEvents deferred_;
  HostDirectory hosts_;
  DecisionEngine engine_;  ///< Last: the sink is complete before the engine exists.
};

}  // namespace merlinbridge::core
