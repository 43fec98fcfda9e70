#pragma once

#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "policy_api/time.hpp"

// Wrappers of the socket system calls. None of them blocks, whatever the mode of the descriptor. Calls that a
// signal interrupts are repeated. Each classifies its failure, so that a temporary local resource shortage is
// not mistaken for the end of a connection. Descriptors are borrowed unless a Descriptor takes ownership.
namespace merlinbridge::net {

/// What the result of a socket call means for the connection.
enum class CallStatus {
  done,
  wouldBlock,   ///< No progress is possible until the descriptor is ready.
  shortage,     ///< Local resource shortage: the call had no effect and may succeed if retried later.
  endOfStream,  ///< The peer has ended its stream with a FIN.
  broken        ///< The connection, or the one being accepted, no longer exists.
};

/// The result of a socket call.
struct CallResult {
  CallStatus status = CallStatus::done;
  std::size_t bytes = 0;  ///< Bytes transferred; 0 unless `done`.
  int error = 0;          ///< The errno that explains the status; 0 if none.
};

/// Owns a file descriptor and closes it.
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
  /// Transfers ownership to the caller, which must close the descriptor.
  int release() { return std::exchange(number_, -1); }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_ = -1;  ///< Negative if there is no descriptor.
};

/// Reads up to `size` bytes into `into`. `done`: at least one byte was read.
CallResult receive(int socket, char* into, std::size_t size);
/// Checks for unread bytes without consuming them. `done`: at least one byte can be read.
CallResult peek(int socket);

/// The parts that one call sends, in order; parts may be empty.
using SendParts = std::array<std::string_view, 4>;
/// Writes the parts with one system call. `done`: the first `bytes` were written, possibly not all. Never
/// raises SIGPIPE.
CallResult send(int socket, const SendParts& parts);

/// Accepts one connection. `done`: `accepted` owns its socket, which is non-blocking and close-on-exec.
CallResult acceptConnection(int listener, Descriptor& accepted);
/// Opens a stream socket of the address family `family` (AF_INET, AF_INET6). `done`: `opened` owns it; it is
/// non-blocking and close-on-exec. Otherwise `shortage`.
CallResult openStream(int family, Descriptor& opened);
/// Starts to connect. `wouldBlock`: in progress; once the socket is writable, connectResult() returns the
/// outcome. A missing local port, route or firewall permission counts as a `shortage`.
CallResult startConnect(int socket, const sockaddr* address, socklen_t size);
/// The outcome of a connect that was in progress; `wouldBlock` if it still is.
CallResult connectResult(int socket);
/// Returns true for errors that the peer or the network causes; all others are failures of this machine.
bool isCausedByPeer(int error);
/// Returns true if the peer has closed or reset the connection, even if not all its data has been read.
bool peerHungUp(int socket);
/// How long ago the newest bytes of the connection arrived at this machine, whether they have been read or
/// not; if none have arrived, how long ago the connection was established. As exact as the system's tick,
/// some milliseconds. Empty if the system does not tell.
std::optional<Duration> timeSinceArrival(int socket);
/// Returns true if the peer's system has acknowledged all that was sent, including the end of the stream.
/// False also if this system does not tell.
bool isAllAcknowledged(int socket);

}  // namespace merlinbridge::net
