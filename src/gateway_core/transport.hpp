#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "gateway_core/host_directory.hpp"
#include "gateway_core/slot_table.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// What is known of a client whose request is pending.
enum class ClientState {
  connected,
  disconnected,  ///< It has closed its connection, even if the event loop has not handled that yet.
  unknown        ///< It has sent more than the gateway reads, so its close could not be noticed.
};

/// The result of starting an attempt: the connection that carries it, or its outcome if it ended immediately,
/// for example because no socket was available.
using AttemptStartResult = std::variant<SlotRef, Outcome>;

/// The I/O that the core requests. Implemented with sockets in the daemon, with the simulator's messages in
/// the simulator adapter and with a network model in the emulator.
///
/// The core makes every call on its one strand, while it handles an input; an implementation must not call
/// the core before it returns. An implementation ignores a SlotRef whose client or connection no longer
/// exists. String views are valid only during the call. The transport must outlive the core.
class Transport : public HostObserver {
 public:
  /// Sends the host's response to the client with status 200. An empty `contentType` is not sent.
  virtual void sendResponse(SlotRef client, std::string_view body, std::string_view contentType) = 0;
  /// Tells the client that the request was rejected and may be repeated after `retryAfter`. 0: no Retry-After
  /// is sent.
  virtual void sendRejection(SlotRef client, Duration retryAfter) = 0;
  /// Tells the client that the request failed; it may nevertheless have taken effect.
  virtual void sendFailure(SlotRef client) = 0;
  /// Writes the client's request to the host. Either returns the Outcome of an attempt that ended
  /// immediately, or reports the end of the attempt later through GatewayCore::attemptEnded.
  virtual AttemptStartResult startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                          AttemptDeadline) = 0;
  /// Abandons an attempt in flight. Returns true if this call has ended the attempt, false if its end is
  /// reported later through GatewayCore::attemptEnded.
  virtual bool closeAttempt(SlotRef client, AttemptNumber, SlotRef connection) = 0;
  /// Returns true while part of the attempt's request is unwritten: if abandoned now, the attempt never runs.
  virtual bool isUnsent(SlotRef /*connection*/) { return false; }
  /// Returns what is known of the client now.
  virtual ClientState clientState(SlotRef /*client*/) { return ClientState::connected; }
  /// Adds units to a count of the counter service, which keeps the count for `keepFor`. The end of the call
  /// is reported through GatewayCore::counterCallEnded.
  virtual void addToCounter(const CounterKey&, double units, Duration keepFor) = 0;
  /// Reports a state change of the decision engine, for the log; see EngineEvent.
  virtual void report(EngineEvent) = 0;
};

/// What is known of a host's response besides the outcome. The string views belong to the caller of
/// GatewayCore::attemptEnded and are read only during that call.
struct UpstreamResponse {
  std::string_view body;
  std::string_view contentType;  ///< Content-Type; empty if the host sent none.
  double trueUnits = 0;          ///< True cost of the request in units; 0: the host did not state it.
  LoadReport load{};             ///< The host's load as reported by the host.
  std::optional<Duration> duration = {};  ///< Of the attempt, if the adapter measures it itself.
  bool forwardedByAdapter = false;        ///< The adapter has already forwarded the response to the client.
};

}  // namespace merlinbridge::core
