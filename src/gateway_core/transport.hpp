#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "gateway_core/host_directory.hpp"
#include "gateway_core/slot_table.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// How the start of an attempt went: the connection that carries the attempt, or the outcome of an attempt
/// that ended at once, for example because no socket was left.
using AttemptStartResult = std::variant<SlotRef, Outcome>;

/// What the core asks of its surroundings: sockets in the daemon, the wire in the simulator adapter, the
/// network model in the emulator.
///
/// The core makes every call on its own strand (there is one) and while it handles an input; an
/// implementation must not call the core before it returns. An implementation ignores a SlotRef whose client
/// or connection no longer exists. Texts are valid during the call only. The transport must outlive the core.
class Transport : public HostObserver {
 public:
  /// Sends the client the host's answer, as status 200. `type` is the Content-Type; empty: none is sent.
  virtual void answerOk(SlotRef client, std::string_view body, std::string_view type) = 0;
  /// Tells the client that the request was rejected and may be repeated after `retryAfter`; 0: no
  /// Retry-After.
  virtual void answerRejected(SlotRef client, Duration retryAfter) = 0;
  /// Tells the client that the request failed: it may have had its effect.
  virtual void answerFailed(SlotRef client) = 0;
  /// Writes the client's request to the host. The core hears of the attempt's end through
  /// GatewayCore::attemptEnded, unless an Outcome is returned, which is the end.
  virtual AttemptStartResult startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                          AttemptDeadline) = 0;
  /// Gives up an attempt in flight. Returns true if the attempt has ended by this call, false if its end is
  /// reported later through GatewayCore::attemptEnded.
  virtual bool closeAttempt(SlotRef client, AttemptNumber, SlotRef connection) = 0;
  /// Returns true while part of the attempt's request is still unwritten: an attempt given up now never runs.
  virtual bool isUnsent(SlotRef /*connection*/) { return false; }
  /// Returns whether the client's connection is still open. Returns false as soon as the peer has hung up,
  /// even if the event loop has not handled the hang-up yet.
  virtual bool clientConnected(SlotRef /*client*/) { return true; }
  /// Adds units to a count of the counter service, which keeps the count for `keepFor`. The end is reported
  /// through GatewayCore::counterCallEnded.
  virtual void addToCounter(const CounterKey&, double units, Duration keepFor) = 0;
  /// Reports a state change of the decision engine, for the log; see EngineEvent.
  virtual void report(EngineEvent) = 0;
};

/// What a host's answer says besides its outcome. The texts belong to the caller of GatewayCore::attemptEnded
/// and are read during that call only.
struct UpstreamResponse {
  std::string_view body;
  std::string_view contentType;           ///< Content-Type; empty: none was sent.
  double trueUnits = 0;                   ///< Cost of the request in units; 0: the host did not say.
  LoadReport load{};                      ///< The host's load as the host reports it.
  std::optional<Duration> duration = {};  ///< Duration of the attempt, where the adapter measures it itself.
  bool answeredByAdapter = false;         ///< The adapter has already passed the answer on to the client.
};

}  // namespace merlinbridge::core
