#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway_core/client_request_ids.hpp"
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
/// each attempt on time. With `adapter`, the core still fails a request that is unanswered when the answer
/// slack after its deadline has passed.
enum class DeadlineEnforcer { core, adapter };

/// The core of the gateway, without I/O. It keeps the pending requests with their attempts (RequestTable),
/// the hosts (HostDirectory) and all deadlines, passes the decisions of the decision engine to the transport
/// and reports their results to the engine.
///
/// Guarantees: each request gets at most one final answer, and gets one by its deadline unless its client has
/// disconnected; the end of each attempt that the engine starts is reported to the engine exactly once.
///
/// Not thread-safe: all calls must be made on one strand, that of the DeadlineQueue. Times are on the
/// gateway's clock and must not decrease from call to call. The transport must not call the core from within
/// a call that the core makes to it. A RequestId that is no longer known is ignored by every function. The
/// core owns its engine; the queue and the transport must outlive the core, and the core must outlive the
/// callbacks that it has added to the queue.
class GatewayCore final : private DecisionSink {
 public:
  /// Starts with the hosts that the configuration names. Calls the transport.
  GatewayCore(const config::GatewayConfig&, TimePoint now, DeadlineQueue&, Transport&,
              DeadlineEnforcer = DeadlineEnforcer::core);

  /// The name tables for parseRequest(); valid for the lifetime of the core.
  const NameTables& names() const { return names_; }
  /// The engine's settings; valid for the lifetime of the core.
  const PolicySettings& settings() const { return settings_; }
  /// The host's address as "10.0.0.4:8080"; empty if discovery named none. Valid until the next
  /// endpointsUpdated.
  const std::string& addressOf(HostId host) const { return hosts_.addressOf(host); }
  /// The host's name in discovery. Valid until the next endpointsUpdated.
  const std::string& nameOf(HostId host) const { return hosts_.nameOf(host); }
  /// Returns whether the request is still in the table: it is unanswered or has attempts in flight.
  bool contains(RequestId requestId) { return requests_.find(requestId) != nullptr; }
  /// The number of requests without a final answer.
  std::size_t unansweredCount() const { return requests_.unansweredCount(); }
  /// Returns whether the request is unanswered and its client is known to be connected: only then may an
  /// attempt begin.
  bool clientAwaitsAnswer(RequestId);

  /// Whether a request with this Req-Id must be refused, because it is a copy of a request that is open or
  /// was executed a short time ago. See ClientRequestIds.
  bool isDuplicate(TimePoint now, ClientRequestId id) { return clientRequestIds_.contains(now, id); }
  /// Whether a request must be refused because so many have run of late that its id could not be remembered.
  bool isIdTableFull(TimePoint now) { return clientRequestIds_.isFull(now); }

  /// The Retry-After of a request whose client waits to be asked for the body, if the customer's limits
  /// reject it in any case; see DecisionEngine::rejectionInAdvance().
  std::optional<Duration> rejectionInAdvance(TimePoint now, const Request& request);

  /// Accepts a client's request and returns its id. When this returns, the request may already be answered
  /// and its id no longer known. `request.requestId` is ignored; `request.deadline` is the client's deadline.
  /// `clientRequestId` is its Req-Id, for which isDuplicate() must be false; empty if the client's protocol
  /// has none.
  RequestId requestArrived(TimePoint now, SlotRef client, Request request,
                           std::optional<ClientRequestId> clientRequestId = std::nullopt);
  /// The client has disconnected: the request gets no answer, and its unsent attempts are abandoned.
  void clientDisconnected(TimePoint now, RequestId);
  /// An attempt has ended. With Outcome::ok, the client gets the response unless the request is already
  /// answered. Ignored if the attempt is not in flight.
  void attemptEnded(TimePoint now, RequestId, AttemptNumber, Outcome, const UpstreamResponse& = {});
  /// A connection to the host that carried no attempt was closed or reset by the other side. Must not be
  /// called from within a call that the core makes to the transport.
  void hostConnectionBroke(TimePoint now, HostId host) { engine_.hostConnectionBroke(now, host); }
  /// A call to the counter service has ended. `total` is the count after the call, and is read only if the
  /// outcome is ok; `duration` is how long the call took.
  void counterCallEnded(TimePoint now, const CounterKey&, CounterCallOutcome, double total,
                        Duration duration);
  /// Applies a complete endpoint list or an incremental update from discovery. Abandons the unsent attempts
  /// to hosts that no longer serve, so that their requests can go to other hosts.
  void endpointsUpdated(TimePoint now, const config::EndpointList&);
  /// Caps the deadline of every request, pending or future, at `answerBy`; for a process that is about to
  /// exit.
  void setAnswerDeadline(TimePoint answerBy);

 private:
  void startAttempt(RequestId, HostId, AttemptDeadline) override;
  void cancel(RequestId, AttemptNumber) override;
  void reject(RequestId, Duration retryAfter) override;
  void fail(RequestId) override;
  void addToCounter(const CounterKey&, double units, Duration keepFor) override;
  void setTimer(TimePoint, TimerId) override;
  void report(EngineEvent event) override { transport_.report(event); }

  DeadlineQueue::Handle addAnswerDeadlineTimer(TimePoint, RequestId);
  void answerDeadlineReached(TimePoint now, RequestId);
  void abandonAttempt(TimePoint now, RequestId, AttemptNumber, Outcome);
  PendingRequest* markAnswered(RequestId);
  void drop(TimePoint now, RequestId, const PendingRequest&);
  void abandonAttemptsOfAnswered(TimePoint now, RequestId);
  bool hasIdsFor(const config::Endpoint&) const;
  std::vector<HostUpdate> applyEndpoints(TimePoint now, const std::vector<config::Endpoint>&);
  void deferAbandoningUnsent();
  void finishInput(TimePoint now, std::optional<RequestId>);
  void failRequest(TimePoint now, RequestId);
  void handle(TimePoint now, const ClientDisconnected&);
  void handle(TimePoint now, const ClientStateUnknown&);
  void handle(TimePoint now, const AttemptEndedImmediately&);
  void handle(TimePoint now, const AttemptToAbandon&);

  const PolicySettings settings_;
  const Duration answerSlack_;      ///< An answer up to this long after the deadline still counts.
  const Duration longestDeadline_;  ///< No client waits longer, whatever it states.
  const bool enforcesDeadlines_;
  TimePoint now_;  ///< Time of the input being handled; calls from the engine carry no time.
  TimePoint answerDeadline_ = TimePoint::max();  ///< For all requests; see setAnswerDeadline.
  NameTables names_;
  DeadlineQueue& deadlines_;
  Transport& transport_;
  RequestTable requests_;
  ClientRequestIds clientRequestIds_;
  DeferredEvents deferred_;
  HostDirectory hosts_;
  DecisionEngine engine_;  ///< Declared last: the members that the sink uses outlive it.
};

}  // namespace merlinbridge::core
