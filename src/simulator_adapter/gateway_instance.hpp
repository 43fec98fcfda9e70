#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "gateway_core/gateway_core.hpp"
#include "simulator_adapter/message.hpp"
#include "simulator_adapter/message_writer.hpp"

namespace merlinbridge::simulator_adapter {

/// One simulated gateway: the core of the daemon, with the simulator's messages instead of sockets. The
/// simulator ends attempts at their deadline and forwards responses to clients. The core's reference to a
/// client holds the identifier that its request has on the wire.
class GatewayInstance final : private core::Transport {
 public:
  /// The gateway's messages are appended to `reply`, which must outlive the instance.
  GatewayInstance(std::int64_t number, const GatewayStart&, TimePoint now, ReplyBuffer& reply);

  /// Handles one message to this gateway and sets the timer for the next deadline. Throws config::ConfigError
  /// if the message is invalid or unknown, and passes on the exceptions of the core.
  void handle(const Message&, TimePoint now);
  /// Tells the simulator that handle() threw an exception other than ConfigError.
  void reportFault(std::string_view text) { writer_.fault(text); }

 private:
  struct WireRequestIdHash {
    std::size_t operator()(WireRequestId id) const { return std::hash<std::uint64_t>()(id.value); }
  };
  using RequestIds = std::unordered_map<WireRequestId, RequestId, WireRequestIdHash>;

  // core::Transport
  void sendResponse(core::SlotRef, std::string_view, std::string_view) override;
  void sendRejection(core::SlotRef client, Duration retryAfter) override;
  void sendFailure(core::SlotRef client) override;
  std::variant<core::SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, core::SlotRef client, HostId,
                                                    AttemptDeadline) override;
  bool closeAttempt(core::SlotRef client, AttemptNumber, core::SlotRef connection) override;
  void addToCounter(const CounterKey&, double units, Duration keepFor) override;
  void hostUnavailable(HostId) override {}  // The simulator manages the connections.
  void report(EngineEvent) override;
  void endpointTableFull(std::string_view hostName) override;

  void dispatch(const Message&, TimePoint now);
  void handleRequest(const RequestArrival&, TimePoint now);
  void handleClientDisconnect(WireRequestId, TimePoint now);
  void handleAttemptEnd(const config::JsonFields&, TimePoint now);
  void handleTimer(TimePoint now);
  void handleCounterCallEnd(const CounterCallEnd&, TimePoint now);
  void eraseIfEnded(RequestIds::iterator);
  /// Sets the simulator's timer for the next deadline, unless it is already set for that time or earlier.
  void updateTimer(TimePoint now);

  MessageWriter writer_;
  std::vector<std::string> loadFieldNames_;
  core::DeadlineQueue deadlines_;
  TimePoint timerDueAt_ = TimePoint::max();  ///< The earliest time that a timer is set for; max(): none.
  RequestIds requestIds_;                    ///< Of the requests that the core has not ended.
  core::GatewayCore core_;
};

}  // namespace merlinbridge::simulator_adapter
