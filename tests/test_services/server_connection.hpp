#pragma once

#include <cstring>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "asio_names.hpp"
#include "http/message.hpp"

namespace merlinbridge::test_services {

/// One accepted connection: hands over each complete request, in order, and writes responses. Handlers hold a
/// shared pointer, so that the connection lives until its last operation has ended.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// Called for each complete request. The message is valid only during the call.
  using RequestHandler =
      std::function<void(const std::shared_ptr<ServerConnection>&, const http::Message& request)>;

  ServerConnection(Tcp::socket socket, RequestHandler handler)
      : socket_(std::move(socket)), handler_(std::move(handler)) {}

  /// Starts reading. Must be called exactly once.
  void read() {
    buffer_.resize(bufferedBytes_ + kReadSize);
    socket_.async_read_some(asio::buffer(buffer_.data() + bufferedBytes_, kReadSize),
                            [self = shared_from_this()](const Error& error, std::size_t size) {
                              if (error) return self->close();
                              self->bufferedBytes_ += size;
                              self->handleRequests();
                              if (self->open_) self->read();
                            });
  }
  /// Queues bytes to be written after those queued before; dropped if the connection is closed.
  void send(std::string bytes) {
    if (!open_) return;
    unsent_.push_back(std::move(bytes));
    if (unsent_.size() == 1) write();
  }
  void close() {
    Error ignored;
    open_ = false;
    socket_.close(ignored);
  }
  /// Closes with a TCP reset.
  void reset() {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }
  bool isOpen() const { return open_; }

 private:
  static constexpr std::size_t kReadSize = 8192;

  void handleRequests() {
    while (open_ && bufferedBytes_ > 0) {
      const auto stage = request_.advance(buffer_.data(), bufferedBytes_);
      if (stage == http::Message::Stage::invalid) return close();
      if (stage != http::Message::Stage::done) return;
      handler_(shared_from_this(), request_);
      const std::size_t size = request_.size();
      request_.clear();
      std::memmove(buffer_.data(), buffer_.data() + size, bufferedBytes_ - size);
      bufferedBytes_ -= size;
    }
  }
  void write() {
    asio::async_write(socket_, asio::buffer(unsent_.front()),
                      [self = shared_from_this()](const Error& error, std::size_t) {
                        if (error) return self->close();
                        self->unsent_.pop_front();
                        if (!self->unsent_.empty()) self->write();
                      });
  }

  Tcp::socket socket_;
  RequestHandler handler_;
  std::string buffer_;
  std::size_t bufferedBytes_ = 0;
  http::Message request_{http::Message::Kind::request};
  std::deque<std::string> unsent_;
  bool open_ = true;
};

}  // namespace merlinbridge::test_services
