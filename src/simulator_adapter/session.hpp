#pragma once

#include <iosfwd>
#include <map>

#include "simulator_adapter/gateway_instance.hpp"
#include "simulator_adapter/message.hpp"
#include "simulator_adapter/message_writer.hpp"

namespace merlinbridge::simulator_adapter {

/// A session with the simulator: the gateways of this process by number, and the state of the current batch.
/// All messages of a batch happen at the same time; the replies of all gateways are written together when the
/// batch ends.
class Session {
 public:
  /// Replies are written to `out`, which must outlive the session.
  explicit Session(std::ostream& out) : out_(out) {}

  /// Throws config::ConfigError if the message is invalid, is not allowed at this point, or is for a gateway
  /// that is not running. Other exceptions that a gateway throws are reported to the simulator as faults.
  void handle(const Message&);
  /// To be called at the end of the input. Throws config::ConfigError if the input ended inside a batch.
  void end() const;

 private:
  void beginBatch(const config::JsonFields&);
  void endBatch();
  void startGateway(std::int64_t number, const config::JsonFields&);
  void handleForGateway(const Message&);

  std::ostream& out_;
  std::map<std::int64_t, GatewayInstance> gateways_;
  ReplyBuffer reply_;
  bool inBatch_ = false;
  TimePoint now_{};
};

}  // namespace merlinbridge::simulator_adapter
