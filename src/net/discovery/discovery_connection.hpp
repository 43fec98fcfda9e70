#pragma once

#include <cstddef>
#include <string_view>

#include "net/connection.hpp"
#include "net/discovery/discovery_response_handler.hpp"
#include "net/discovery/response_progress.hpp"

namespace merlinbridge::net {

/// A request to discovery and its response; base class of WatchConnection and PollConnection. It ends as
/// `failed` if the response makes no progress for a heartbeat interval plus the connect timeout. A part of
/// the response that takes longer than that but makes progress is reported as slow, once, and read on. The
/// event loop owns the connection.
class DiscoveryConnection : public Connection {
 public:
  /// Returns true while a list is being received, after the head.
  virtual bool isInsideList() const = 0;
  /// How long the head or list that is being received has taken so far.
  Duration partAge() const { return loop_.now() - progress_.partStartedAt(); }
  /// How long the response has made no progress.
  Duration timeWithoutProgress() const { return progress_.timeWithoutProgress(loop_.now()); }
  /// Bytes of the incomplete head or list that have been received.
  std::size_t partBytes() const { return received(); }

 protected:
  /// How far the response has come.
  enum class Stage { head, body };

  /// `message`: the whole HTTP request, written once the connection is up.
  DiscoveryConnection(EventLoop&, DiscoveryResponseHandler&, Duration connectTimeout,
                      std::string_view message);

  /// Ends the request.
  void finish(DiscoveryOutcome outcome) { handler_.requestEnded(ref(), outcome); }
  TimePoint waitDeadline() const override { return progress_.deadline(); }
  void onTimeout() override;

  DiscoveryResponseHandler& handler_;
  ResponseProgress progress_;
  Stage stage_ = Stage::head;
};

}  // namespace merlinbridge::net
