#pragma once

#include <cstdint>
#include <string>

#include "gateway_core/gateway_core.hpp"
#include "net/discovery/discovery_connection.hpp"
#include "net/discovery/discovery_schedule.hpp"

namespace merlinbridge::net {

/// Client of discovery: keeps the core's endpoint list up to date. Holds a watch open that delivers all
/// changes after the last applied generation. While discovery rejects watches, the client polls complete
/// lists and retries the watch after a few polls.
///
/// At most two requests are open at a time: the newest one, and an earlier one whose response is slow but
/// makes progress. Newer requests are sent as if the slow one had failed, since it may never become a list.
/// The first of the two that delivers a list decides: after a list from the newest request the slow one is
/// closed, and a slow watch that catches up replaces the newest request. An older list thus never replaces a
/// newer one. Lists and changes are applied once they are complete. All functions run on the event loop's
/// strand.
class DiscoveryClient final : private DiscoveryResponseHandler {
 public:
  /// `address`: "host:port". `generation`: that of the core's initial endpoint list. `drainGrace` and `seed`:
  /// see DiscoverySchedule. Throws std::invalid_argument if the address cannot be parsed.
  DiscoveryClient(EventLoop&, std::string address, std::uint64_t generation, Duration connectTimeout,
                  Duration drainGrace, std::uint64_t seed);

  /// Sends the first request. Endpoint lists go to `core`, which must outlive the client.
  void start(core::GatewayCore& core);
  /// Closes the open requests and immediately sends a watch request to this address, for all changes after
  /// the last applied generation. No effect if the address is the current one and the newest request to it is
  /// open. Throws std::invalid_argument if the address cannot be parsed, and then changes nothing.
  void setAddress(const std::string& address);

 private:
  /// A request whose connection is open; empty otherwise.
  struct OpenRequest {
    SlotRef connection{};
    DiscoveryRequest kind = DiscoveryRequest::watch;
    TimePoint sentAt{};
    explicit operator bool() const { return static_cast<bool>(connection); }
  };
  /// What has been logged since discovery was last reachable: each event once.
  struct LoggedTrouble {
    bool unreachable = false;
    bool slow = false;
  };

  bool applyEndpointList(SlotRef connection, std::string json) override;
  void watchReceivedHeartbeat(SlotRef connection) override;
  void responseIsSlow(SlotRef connection) override;
  void requestEnded(SlotRef connection, DiscoveryOutcome) override;

  void sendRequest();
  Connection& openConnection();
  std::string requestMessage(std::string_view query) const;
  void markReachable();
  void logUnreachable();
  void logSlow(const DiscoveryConnection&);
  void replaceNewestBySlow();
  bool givesWay(const DiscoveryConnection& slow, const DiscoveryConnection& newer);
  void newestRequestEnded(DiscoveryOutcome);
  void slowRequestEnded(DiscoveryOutcome);
  void sendRequestAfter(Duration pause);
  void cancelNextRequest();
  void close(OpenRequest&);
  Duration ageOf(const OpenRequest& request) const { return loop_.now() - request.sentAt; }

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::string address_;
  SocketAddress peerAddress_;
  std::uint64_t generation_;  ///< Of the last applied endpoint list.
  const Duration connectTimeout_;
  DiscoverySchedule schedule_;
  LoggedTrouble logged_;
  bool isReachable_ = true;  ///< No request has ended or turned slow since the last list or heartbeat.
  OpenRequest newest_;       ///< Empty while the next request is due.
  OpenRequest slow_;         ///< Sent before the newest one.
  core::DeadlineQueue::Handle
      nextRequestTimer_{};  ///< Sends the next request; empty while `newest_` is open.
};

}  // namespace merlinbridge::net
