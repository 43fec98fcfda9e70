#pragma once

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "server_connection.hpp"

namespace merlinbridge::test_services {

/// Accepts connections on a free loopback port.
class Listener {
 public:
  /// `handler` receives the requests of all connections.
  Listener(asio::io_context& io, ServerConnection::RequestHandler handler)
      : acceptor_(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), handler_(std::move(handler)) {
    accept();
  }

  /// The address in the form "127.0.0.1:port".
  std::string address() const { return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port()); }
  /// The number of connections accepted so far.
  std::size_t accepted() const { return accepted_; }
  /// Simulates the death of the process that owns the port: open connections are reset, new ones refused.
  void die() {
    Error ignored;
    acceptor_.close(ignored);
    for (const auto& connection : connections_)
      if (const auto open = connection.lock()) open->reset();
    connections_.clear();
  }

 private:
  void accept() {
    acceptor_.async_accept([this](const Error& error, Tcp::socket socket) {
      if (error) return;
      ++accepted_;
      Error ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      const auto connection = std::make_shared<ServerConnection>(std::move(socket), handler_);
      std::erase_if(connections_, [](const auto& earlier) { return earlier.expired(); });
      connections_.push_back(connection);
      connection->read();
      accept();
    });
  }

  Tcp::acceptor acceptor_;
  ServerConnection::RequestHandler handler_;
  std::vector<std::weak_ptr<ServerConnection>> connections_;
  std::size_t accepted_ = 0;
};

/// An HTTP/1.1 response with a body. Each line of `headerLines` ends with CRLF.
inline std::string httpResponse(int status, const std::string& body, const std::string& headerLines = "") {
  return fmt::format("HTTP/1.1 {} x\r\n{}Content-Length: {}\r\n\r\n{}", status, headerLines, body.size(),
                     body);
}

}  // namespace merlinbridge::test_services
