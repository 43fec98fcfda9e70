#pragma once

#include <boost/asio/coroutine.hpp>
#include <initializer_list>
#include <string_view>

#include "net/buffer.hpp"
#include "net/event_loop.hpp"
#include "net/system_calls.hpp"

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
  /// Dials until the connection is up or the wait for it is over. A failure of this machine is no end: it
  /// dials again soon.
  void connect(const SocketAddress&);
  /// It did not come up, and all that is known is that this machine could not dial.
  bool failedLocally() const { return !up_ && dial_.status == CallStatus::shortage; }
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
  /// A message has begun to come and is not whole.
  virtual bool expectsMore() const { return false; }
  /// Reads on, up to so much, before it says that bytes have come: where the peer's end right behind them
  /// counts.
  virtual std::size_t readAheadLimit() const { return 0; }
  /// All that waited is written.
  virtual void onAllWritten() {}
  /// What waits to be written is about to be tried again.
  virtual void beforeRetry() {}
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
  std::size_t unsentBytes() const { return unsent_; }
  std::string_view unsent() const { return buffer_.view().substr(received()); }
  void replaceUnsent(std::string_view text);
  bool peerEnded() const { return peerEnded_; }  // in good order, by an end of its stream
  int lastError() const { return lastError_; }   ///< the errno that broke it; 0 where none did
  void resumeReading();                          ///< to be called where it may no longer be full
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
    short awaited = 0;  ///< The readiness that it waited for, as poll() names it.
    void operator()(const Error& error) const;
  };

  using Step = void (Connection::*)(Error);
  void connectStep(Error error);
  void readStep(Error error);
  void writeStep(Error error);
  CallResult dial();
  CallResult open();
  void becomeUp();
  CallStatus readAll();
  CallStatus fill();
  CallStatus pushOut();
  void waitFor(Socket::wait_type readiness, Step step);
  void tryLater(Step step);
  void endMissedWaits();
  void checkWait(TimePoint now);
  void recordFailure(SystemCall call, const CallResult& result);
  void recordFailedWait(const Error& error);
  void disableDelay();
  int descriptor() const { return socket_.native_handle(); }

  mutable Socket socket_;
  SocketAddress peer_;
  SlotRef ref_;
  bool up_ = false, readPaused_ = false, writing_ = false, later_ = false, peerEnded_ = false;
  bool delayDisabled_ = false;  ///< TCP_NODELAY is set.
  std::size_t unsent_ = 0;
  asio::coroutine connector_, reader_, writer_;
  CallResult dial_;                          ///< How the last dial stands.
  CallStatus readStatus_{}, writeStatus_{};  ///< Of the last read and write.
  short awaited_ = 0;                        ///< Readiness that is waited for, as poll() names it.
  bool readyUnnoticed_ = false;              ///< It was ready at the last check, and no wait has ended since.
  int shortagesInRow_ = 0;                   ///< Each doubles the pause before the next try.
  int lastError_ = 0;
  TimePoint waitTimerAt_ = TimePoint::max();
  core::DeadlineQueue::Ticket waitTimer_{};
};

}  // namespace merlinbridge::net
