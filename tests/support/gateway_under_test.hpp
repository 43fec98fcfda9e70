#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "messages.hpp"
#include "net/server.hpp"
#include "test_peer.hpp"

/// \file
/// A complete gateway in the test's own process, on loopback sockets and with a clock that the test controls.
namespace merlinbridge::testing {

using namespace std::chrono_literals;

/// A clock that stands still until a test moves it.
struct ManualClock final : net::Clock {
  TimePoint now() const override { return currentTime; }
  TimePoint newestArrivalAt(int /*socket*/) const override { return currentTime - timeUnread; }

  TimePoint currentTime{1'700'000'000s};
  Duration timeUnread{0};  ///< How long what is read has waited to be read.
};

/// The gateway's server with its event loop; the test acts as its hosts, counter service, discovery
/// and clients.
///
/// The gateway runs only inside the calls below, on the test's thread, so a test decides what has arrived
/// before the gateway sees any of it. Sockets work in real time, timers by `clock`: runUntil() handles
/// socket events only, advanceClock() also moves the clock.
class GatewayUnderTest {
 public:
  /// Starts a gateway with a limit of `sockets` file descriptors and the endpoint list `endpoints`; if that
  /// is empty, the list holds only `host`, named "h1". `search` and `replacement` change the configuration
  /// text in one place, see replaceOnce().
  explicit GatewayUnderTest(std::size_t sockets = 128, const std::string& endpoints = "",
                            const std::string& search = "", const std::string& replacement = "");

  /// Runs the event loop until `done` returns true. Returns false after 5 s of real time, which only a
  /// failing test reaches.
  bool runUntil(const std::function<bool()>& done);
  /// Runs the event loop until `peer` has received `text`; see runUntil().
  bool runUntilReceived(TestPeer& peer, std::string_view text);
  /// Runs the event loop until the gateway has closed the connection of `peer`; see runUntil().
  bool runUntilClosed(TestPeer& peer);
  /// Runs the event loop until `listener` accepts a connection into `accepted`; see runUntil().
  bool runUntilAccepted(const PeerListener& listener, std::optional<TestPeer>& accepted);
  /// As runUntil(), but asks `done` before each handler, so that a test can act between two handlers
  /// of a turn.
  bool stepUntil(const std::function<bool()>& done);
  /// Runs 200 turns of the event loop: enough to handle everything that has arrived, with the clock standing
  /// still.
  void runPendingEvents();
  /// Moves the clock forward by `span` in steps of 10 ms, and runs due timers and ready sockets at each step.
  void advanceClock(Duration span);

  /// Opens a client connection to the gateway.
  TestPeer connectClient() const { return TestPeer::connectTo(listenPort); }
  /// The configuration that the gateway runs with, for `endpoints` as in the constructor.
  std::string configText(const std::string& endpoints) const;

 private:
  std::size_t sockets_;

 public:
  ManualClock clock;
  std::ostringstream logText;  ///< The log, as the gateway writes it.
  Log log{logText, LogLevel::info};
  PeerListener host;       ///< The only host, unless the constructor was given endpoints.
  PeerListener counter;    ///< The counter service.
  PeerListener discovery;  ///< The discovery service.
  std::uint16_t listenPort;
  net::EventLoop loop;
  net::Server server;
};

/// A client's request that the host has received completely but not yet answered.
struct ForwardedRequest {
  /// Connects a client, sends `message` and waits for the host to receive it, at most 5 s for each step.
  explicit ForwardedRequest(GatewayUnderTest& gateway, const std::string& message = clientRequest("look"));

  TestPeer client;
  std::optional<TestPeer> host;  ///< The host's end of the connection; always set once constructed.
};

/// Reads, and returns the first twelve characters that `client` has received, such as "HTTP/1.1 429".
std::string statusOf(TestPeer& client);

}  // namespace merlinbridge::testing
