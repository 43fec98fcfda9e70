#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "listener.hpp"

namespace merlinbridge::test_services {

/// Discovery: answers polls with the endpoint list, and sends watching clients each new list and periodic
/// heartbeats.
class DiscoveryService {
 public:
  enum class Behaviour {
    healthy,
    unresponsive  ///< Answers no poll and sends no heartbeats; watches still get new lists.
  };

  explicit DiscoveryService(asio::io_context& io)
      : heartbeatTimer_(io), listener_(io, [this](const auto& connection, const http::Message& request) {
          handle(connection, request);
        }) {
    scheduleHeartbeat();
  }

  std::string address() const { return listener_.address(); }
  /// Publishes an endpoint list, in the JSON of the discovery protocol.
  void publish(std::string endpoints) {
    endpoints_ = std::move(endpoints);
    for (const auto& watcher : watchers_) sendChunk(*watcher, endpoints_ + "\n");
  }
  void setBehaviour(Behaviour behaviour) { behaviour_ = behaviour; }

 private:
  static constexpr std::chrono::seconds kHeartbeatInterval{2};

  static void sendChunk(ServerConnection& connection, const std::string& text) {
    connection.send(fmt::format("{:x}\r\n{}\r\n", text.size(), text));
  }
  void handle(const std::shared_ptr<ServerConnection>& connection, const http::Message& request) {
    if (behaviour_ == Behaviour::unresponsive) return;
    if (request.target().find("watch=1") == std::string_view::npos)
      return connection->send(httpResponse(200, endpoints_));
    connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    sendChunk(*connection, endpoints_ + "\n");
    watchers_.push_back(connection);
  }
  void scheduleHeartbeat() {
    heartbeatTimer_.expires_after(kHeartbeatInterval);
    heartbeatTimer_.async_wait([this](const Error& error) {
      if (error) return;
      std::erase_if(watchers_, [](const auto& watcher) { return !watcher->isOpen(); });
      for (const auto& watcher : watchers_)
        if (behaviour_ == Behaviour::healthy) sendChunk(*watcher, "\n");
      scheduleHeartbeat();
    });
  }

  asio::steady_timer heartbeatTimer_;
  std::string endpoints_ = R"({"generation":1,"reset":true,"instances":[]})";
  Behaviour behaviour_ = Behaviour::healthy;
  std::vector<std::shared_ptr<ServerConnection>> watchers_;
  Listener listener_;
};

}  // namespace merlinbridge::test_services
