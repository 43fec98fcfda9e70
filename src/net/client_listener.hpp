#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <optional>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

class ClientListener;

// A client's connection: one request at a time, whose message stays in the buffer until it has its answer.
class ClientConnection final : public Connection {
 public:
  ClientConnection(EventLoop&, Socket, ClientListener&);

  // Guards against views into a buffer that has moved since, as what the client sends on ahead makes it do.
  const http::Message& asked() {
    message_.movedTo(buffer_.data());
    return message_;
  }
  void answer(int status, std::string_view fields, std::string_view body);
  bool resting() const { return !requestId_ && !message_.begun() && allWritten() && !lingering_; }
  TimePoint since() const { return since_; }
  bool lingering() const { return lingering_; }
  std::size_t held() const { return buffer_.size(); }
  void halfClose(
      Duration patience);  // ends in good order: nothing more is sent, what still comes is read for nobody

 private:
  void bytesCame() override;
  void broken() override;
  void written() override;
  bool full() const override;
  std::size_t readsOnTo() const override;
  TimePoint waitEnds() const override;
  void waitedTooLong() override;

  void readOn();
  void readOnSoon();
  void take();
  void refuse(int status, std::string_view why);
  void watchEnd();

  ClientListener& clients_;
  http::Message message_{http::Message::Kind::request};
  std::optional<RequestId> requestId_;
  bool reading_ = false, asking_ = false, lastAnswer_ = false, lingering_ = false;
  bool watchingEnd_ = false;
  std::size_t mayHold_ = 0;     // where it may send on more ahead than others
  TimePoint since_;             // the present wait began
  TimePoint lingerUntil_ = {};  // while it lingers
};

// The listener and all clients' connections, within their share of the descriptors.
class ClientListener {
 public:
  ClientListener(EventLoop&, const SocketAddress& at, std::size_t most, Duration idle,
                 Duration longestDeadline);

  void serve(core::GatewayCore& core);  // from here on clients are accepted
  void setReady(bool ready) { ready_ = ready; }
  // Every answer is a connection's last, unless more has come on it already; from that time on, each.
  void leave(TimePoint by);
  void closeIdle(Duration since = Duration{0});  // ends what has rested for so long
  bool shut();         // accepts what has come; true: nothing had, and nothing is any more
  void discard();      // what is unread at the very end
  std::size_t held();  // bytes of all clients
  bool allClosed() const { return all_.empty(); }
  bool quiet();  // no client is in the middle of a request or of an answer

 private:
  friend class ClientConnection;
  void acceptStep(Error error);
  void goOnAccepting();
  void goOnAcceptingSoon();
  void welcome(Socket);
  void closed(SlotRef);
  void rested();
  void makeRoom();

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  asio::basic_socket_acceptor<asio::ip::tcp, Strand> acceptor_;
  asio::coroutine accepting_;
  bool paused_ = false, ready_ = false, leaving_ = false;
  std::size_t most_, roomWanted_ = 1;
  Duration idle_, maxDeadline_;
  TimePoint lastBy_ = TimePoint::max();
  std::vector<SlotRef> all_;
};

}  // namespace merlinbridge::net
