#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string_view>

#include "policy_api/ids.hpp"
#include "policy_api/time.hpp"
#include "simulator_adapter/message.hpp"

namespace merlinbridge::simulator_adapter {

/// The reply to a batch, gathered until the batch ends.
using ReplyBuffer = fmt::memory_buffer;

/// Writes one gateway's messages to the simulator: one JSON object a line, appended to the reply. The names
/// that the messages and their fields have on the wire are known to message_writer.cpp alone.
class MessageWriter {
 public:
  /// `gatewayNumber` goes into each message. The reply must outlive the writer.
  MessageWriter(std::int64_t gatewayNumber, ReplyBuffer& reply)
      : gatewayNumber_(gatewayNumber), reply_(reply) {}

  /// Rejects a request; the client may repeat it after `retryAfter`. 0: it is told no time.
  void reject(WireRequestId, Duration retryAfter);
  /// Ends a request as failed.
  void fail(WireRequestId);
  /// Starts an attempt at a host. The simulator gives it up at `abandonAt`.
  void startAttempt(WireRequestId, std::string_view host, TimePoint abandonAt);
  /// Cancels an attempt; its end still comes as attemptEnded.
  void cancelAttempt(WireRequestId, AttemptNumber);
  /// Adds units to a counter of the counter service, which keeps it for that long.
  void addToCounter(const CounterKey&, double units, Duration keepFor);
  /// Asks for timerFired at that time.
  void setTimer(TimePoint);
  /// A line of the gateway's log.
  void log(std::string_view text);
  /// Reports that handling a message failed.
  void fault(std::string_view text);

  /// Ends the reply to a batch.
  static void endReply(ReplyBuffer&);

 private:
  /// One line: the gateway's number and the arguments in the places of `format`.
  template <class... Args>
  void write(std::string_view format, const Args&... args);

  std::int64_t gatewayNumber_;
  ReplyBuffer& reply_;
};

}  // namespace merlinbridge::simulator_adapter
