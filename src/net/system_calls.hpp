#pragma once

#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

// The socket calls of the gateway. None of them waits, whatever the descriptor's own mode; one that a signal
// interrupts is made again; and each says what its failure means, so that nothing that passes in a moment is
// taken for the end of a connection.
namespace merlinbridge::net {

enum class CallStatus {
  done,
  wouldBlock,  ///< Nothing is to be done until the descriptor is ready.
  shortage,    ///< This machine lacks something for the moment; nothing was done, and soon it may succeed.
  ended,       ///< The peer has ended its stream in good order.
  broken       ///< The connection, or the one that was about to be accepted, is no more.
};

struct CallResult {
  CallStatus status = CallStatus::done;
  std::size_t bytes = 0;
  int error = 0;  ///< The errno behind the status; 0 where there is none.
};

/// Owns a file descriptor.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int number) : number_(number) {}
  Descriptor(Descriptor&& other) noexcept : number_(other.release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor();

  int get() const { return number_; }
  int release() { return std::exchange(number_, -1); }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_ = -1;
};

/// done: at least one byte was read.
CallResult receive(int socket, char* into, std::size_t size);
/// done: at least one byte could be read; none is taken.
CallResult peek(int socket);

/// What is sent with one call; parts may be empty.
using SendParts = std::array<std::string_view, 4>;
/// done: as many bytes as it says were taken, perhaps not all.
CallResult send(int socket, const SendParts& parts);

/// A new connection, which does not block and is closed on exec, goes to `accepted`.
CallResult acceptConnection(int listener, Descriptor& accepted);
/// A stream socket, which does not block and is closed on exec, goes to `opened`.
CallResult openStream(int family, Descriptor& opened);
/// wouldBlock: it is on its way; once the socket is ready to write, connectResult() tells how it ended.
CallResult startConnect(int socket, const sockaddr* address, socklen_t size);
CallResult connectResult(int socket);
/// The peer has ended or reset, though not all that it sent is read yet.
bool peerHungUp(int socket);

}  // namespace merlinbridge::net
