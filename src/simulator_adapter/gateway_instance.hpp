#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "gateway_core/gateway_core.hpp"
#include "simulator_adapter/message.hpp"
#include "simulator_adapter/message_writer.hpp"

namespace merlinbridge::simulator_adapter {

/// One simulated gateway: the core of the daemon, with the simulator's messages in the place of sockets. The
/// simulator ends attempts at their deadline and hands answers to clients; a request's identifier on the wire
/// stands for its client.
class GatewayInstance final : private core::Transport {
 public:
  /// `reply` gathers what the gateway sends; it must outlive the instance.
  GatewayInstance(std::int64_t number, const GatewayStart&, TimePoint now, ReplyBuffer& reply);

  /// Handles one message, which must be about this gateway, and asks for the next wake-up. Throws
  /// config::ConfigError on a message that cannot be read or is unknown, and what the core throws.
  void handle(const Message&, TimePoint now);
  /// Tells the simulator that handle() has thrown something other than a ConfigError.
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
  void hostUnavailable(HostId) override {}  // The simulator keeps the connections.
  void report(EngineEvent) override;
  void endpointTableFull(std::string_view hostName) override;

  void dispatch(const Message&, TimePoint now);
  void handleRequest(const RequestArrival&, TimePoint now);
  void handleClientDisconnect(WireRequestId, TimePoint now);
  void handleAttemptEnd(const config::JsonFields&, TimePoint now);
  void handleTimer(TimePoint now);
  void handleCounterCallEnd(const CounterCallEnd&, TimePoint now);
  void eraseIfEnded(RequestIds::iterator);
  /// Asks to be woken for the next deadline, unless an earlier wake-up is due anyway.
  void updateTimer(TimePoint now);

  MessageWriter writer_;
  std::vector<std::string> loadFieldNames_;
  core::DeadlineQueue deadlines_;
  TimePoint timerDueAt_ = TimePoint::max();  ///< The earliest wake-up asked for; max(): none.
  RequestIds requestIds_;                    ///< Of the requests that the core still holds.
  core::GatewayCore core_;
};

}  // namespace merlinbridge::simulator_adapter
