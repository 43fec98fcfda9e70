#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string_view>

#include "policy_api/ids.hpp"
#include "policy_api/time.hpp"
#include "simulator_adapter/message.hpp"

namespace merlinbridge::simulator_adapter {

/// The reply to a batch, collected until the batch ends.
using ReplyBuffer = fmt::memory_buffer;

/// Writes one gateway's messages to the simulator: one JSON object per line, appended to the reply. Only
/// message_writer.cpp refers to the names that the messages and their fields have on the wire.
class MessageWriter {
 public:
  /// Each message holds `gatewayNumber`. The reply must outlive the writer.
  MessageWriter(std::int64_t gatewayNumber, ReplyBuffer& reply)
      : gatewayNumber_(gatewayNumber), reply_(reply) {}

  /// Rejects a request. The client may retry after `retryAfter`; 0: no retry time is given.
  void reject(WireRequestId, Duration retryAfter);
  /// Ends a request as failed.
  void fail(WireRequestId);
  /// Starts an attempt at a host. The simulator abandons it at `abandonAt`.
  void startAttempt(WireRequestId, std::string_view host, TimePoint abandonAt);
  /// Cancels an attempt. The simulator still sends attemptEnded for it.
  void cancelAttempt(WireRequestId, AttemptNumber);
  /// Adds units to a counter of the counter service. The service deletes the counter after `keepFor`.
  void addToCounter(const CounterKey&, double units, Duration keepFor);
  /// Requests a timerFired message at that time.
  void setTimer(TimePoint);
  /// Writes a line to the gateway's log.
  void log(std::string_view text);
  /// Reports that handling a message failed.
  void fault(std::string_view text);

  /// Ends the reply to a batch.
  static void endReply(ReplyBuffer&);

 private:
  /// Appends one line: `format` with the gateway's number and `args` as its arguments.
  template <class... Args>
  void write(std::string_view format, const Args&... args);

  std::int64_t gatewayNumber_;
  ReplyBuffer& reply_;
};

}  // namespace merlinbridge::simulator_adapter
