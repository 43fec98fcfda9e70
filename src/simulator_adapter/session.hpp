#pragma once

#include <iosfwd>
#include <map>

#include "simulator_adapter/gateway_instance.hpp"
#include "simulator_adapter/message.hpp"
#include "simulator_adapter/message_writer.hpp"

namespace merlinbridge::simulator_adapter {

/// A conversation with the simulator: the gateways of this process by number, and the batch that is being
/// read. All messages of a batch carry one time; the replies of all gateways leave together when the batch
/// ends.
class Session {
 public:
  /// Replies are written to `out`, which must outlive the session.
  explicit Session(std::ostream& out) : out_(out) {}

  /// Throws config::ConfigError on a message that cannot be read, is out of place, or is for a gateway that
  /// was never started. An exception of another type that a gateway throws is reported to the simulator as a
  /// fault.
  void handle(const Message&);
  /// The input has ended. Throws config::ConfigError if it ended inside a batch.
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
