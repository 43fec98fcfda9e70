#pragma once

#include <boost/asio/coroutine.hpp>
#include <initializer_list>
#include <string_view>

#include "net/buffer.hpp"
#include "net/event_loop.hpp"

namespace merlinbridge::net {

/// One stream socket and its buffer, which holds what has come and, behind it, what could not yet be written.
/// Nothing is read while something waits to be written, so the two never mix.
class Connection {
 public:
  explicit Connection(EventLoop& loop) : loop_(loop), socket_(loop.strand) {}
  Connection(EventLoop& loop, Socket socket) : loop_(loop), socket_(std::move(socket)) {}
  virtual ~Connection() = default;

  SlotRef ref() const { return ref_; }
  bool isUp() const { return up_; }
  bool hasUnread() const;        ///< bytes have come that are not in the buffer yet
  bool peerHungUp() const;       ///< the peer has ended or reset, though not all that it sent is read yet
  bool nothingReceived() const;  ///< neither bytes nor the peer's end have come that were not seen yet
  void connect(const SocketAddress&);
  void start();  ///< an accepted one
  void close();
  void discard();  ///< reads what has come, for nobody
  void flush();

 protected:
  /// The peer is there; bytes have come; it is over, by the peer or by a fault of the way to it.
  virtual void onConnected() {}
  virtual void onData() = 0;
  virtual void onClosed() = 0;
  /// Holds all that it may for now.
  virtual bool mustPause() const { return false; }
  /// Reads on, up to so much, before it says that bytes have come: where the peer's end right behind them
  /// counts.
  virtual std::size_t readAheadLimit() const { return 0; }
  /// All that waited is written.
  virtual void onAllWritten() {}
  /// False: what is not written by now must never be.
  virtual bool mayWrite() const { return true; }
  /// Until when the present wait may last, and what comes if it lasts longer.
  virtual TimePoint waitDeadline() const = 0;
  virtual void onTimeout() = 0;

  void send(std::initializer_list<std::string_view> parts);  ///< now, and what does not go now in its turn
  void sendLater(std::string_view part);                     ///< with all else at the end of this turn
  void shutdownSend();
  std::size_t received() const { return buffer_.size() - unsent_; }  // bytes to be read, at the front
  bool allWritten() const { return unsent_ == 0; }
  bool peerEnded() const { return peerEnded_; }          // in good order, by an end of its stream
  const Error& lastError() const { return lastError_; }  ///< what broke it; none where nothing did
  void resumeReading();                                  ///< to be called where it may no longer be full
  void updateWaitTimer();  ///< to be called where a wait begins that may end earlier than the one before

  EventLoop& loop_;
  Buffer buffer_;

 private:
  friend class EventLoop;
  /// What an operation leaves behind: where to go on, if the connection is still there.
  struct Resume {
    EventLoop* loop = nullptr;
    SlotRef ref;
    void (Connection::*step)(Error) = nullptr;
    void operator()(const Error& error) const;
  };

  void readStep(Error error);
  void writeStep(Error error);
  bool pushOut();
  void checkWait(TimePoint now);
  void recordFault(SystemCall call, const Error& error);

  mutable Socket socket_;
  SocketAddress peer_;
  SlotRef ref_;
  bool up_ = false, readPaused_ = false, writing_ = false, later_ = false, peerEnded_ = false;
  std::size_t unsent_ = 0;
  asio::coroutine reader_, writer_;
  Error lastError_;
  TimePoint waitTimerAt_ = TimePoint::max();
  core::DeadlineQueue::Ticket waitTimer_{};
};

}  // namespace merlinbridge::net
