#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "policy_api/time.hpp"
#include "support/test_peer.hpp"

/// \file
/// Hosts that answer by themselves, on a thread of their own, while a test drives the clients.
namespace merlinbridge::testing {

using SteadyTime = std::chrono::steady_clock::time_point;

/// A request that has reached a host completely.
struct ReceivedRequest {
  std::string id;          ///< Its Req-Id; empty if it has none.
  std::string head;        ///< Start line and header fields.
  std::size_t host;        ///< The number of the host, from 0.
  SteadyTime connectedAt;  ///< When its connection was accepted.
  SteadyTime firstByteAt;  ///< When its first byte was read.
};

/// What a host sends for a request, and what it does with the connection then.
struct HostResponse {
  enum class After { keepAlive, close, reset };
  std::string bytes;
  After after = After::keepAlive;
};

/// Hosts on loopback that answer every request after a fixed delay. Their functions may be called from any
/// thread.
class BackgroundHosts {
 public:
  /// Makes the response to a request from its head and body. Called on the hosts' thread.
  using Respond = std::function<HostResponse(const std::string& head, const std::string& body)>;

  BackgroundHosts(std::size_t count, Duration responseDelay, Respond respond);
  /// All requests get the same response.
  BackgroundHosts(std::size_t count, Duration responseDelay, std::string response);
  BackgroundHosts(const BackgroundHosts&) = delete;
  BackgroundHosts& operator=(const BackgroundHosts&) = delete;
  ~BackgroundHosts();

  /// The hosts as entries of an endpoint list, named "h0", "h1" and so on. `startedAtMs` is the start time of
  /// host 0; the others started long ago.
  std::string endpoints(const std::string& startedAtMs = "0") const;
  /// All requests that have reached the hosts so far.
  std::vector<ReceivedRequest> received() const;
  /// From now on no request is answered.
  void stopAnswering() { answers_ = false; }

 private:
  struct Connection {
    TestPeer peer;
    std::size_t host;
    SteadyTime connectedAt;
    SteadyTime firstByteAt{};
    SteadyTime answerAt{};
    bool hasRequest = false;
    HostResponse response{};
  };

  void run();
  void acceptConnections();
  static void sendResponse(Connection& connection);
  void readRequest(Connection& connection, SteadyTime now);

  const Duration responseDelay_;
  const Respond respond_;
  std::deque<PeerListener> listeners_;
  std::vector<Connection> connections_;
  mutable std::mutex mutex_;
  std::vector<ReceivedRequest> received_;
  std::atomic<bool> answers_ = true;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

}  // namespace merlinbridge::testing
