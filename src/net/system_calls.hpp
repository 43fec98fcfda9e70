#pragma once

#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

// The socket calls of the gateway. None of them blocks, whatever the descriptor's mode; a call that a signal
// interrupts is repeated; and each classifies its failure, so that a passing shortage of this machine is not
// taken for the end of a connection. Descriptors are borrowed unless a Descriptor takes ownership.
namespace merlinbridge::net {

/// What a socket call's return means for the connection.
enum class CallStatus {
  done,
  wouldBlock,   ///< Nothing can be done until the descriptor is ready.
  shortage,     ///< This machine lacks a resource; nothing was done, and a later try may succeed.
  endOfStream,  ///< The peer has ended its stream in good order.
  broken        ///< The connection, or the one about to be accepted, no longer exists.
};

/// The result of a socket call.
struct CallResult {
  CallStatus status = CallStatus::done;
  std::size_t bytes = 0;  ///< Transferred; 0 unless `done`.
  int error = 0;          ///< The errno behind the status; 0 if there is none.
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
  /// Gives the descriptor to the caller, which closes it from then on.
  int release() { return std::exchange(number_, -1); }
  explicit operator bool() const { return number_ >= 0; }

 private:
  int number_ = -1;  ///< Negative for none.
};

/// Reads up to `size` bytes into `into`. `done`: at least one byte was read.
CallResult receive(int socket, char* into, std::size_t size);
/// Looks for unread bytes without taking them. `done`: at least one byte can be read.
CallResult peek(int socket);

/// What one call sends, in order; parts may be empty.
using SendParts = std::array<std::string_view, 4>;
/// Writes the parts with one call. `done`: `bytes` of them were taken, perhaps not all. Never raises SIGPIPE.
CallResult send(int socket, const SendParts& parts);

/// Accepts one connection. `done`: `accepted` owns its socket, which is non-blocking and closed on exec.
CallResult acceptConnection(int listener, Descriptor& accepted);
/// Opens a stream socket of the address family `family` (AF_INET, AF_INET6). `done`: `opened` owns it; it is
/// non-blocking and closed on exec. Otherwise `shortage`.
CallResult openStream(int family, Descriptor& opened);
/// Starts to connect. `wouldBlock`: under way; once the socket is writable, connectResult() tells the
/// outcome. A port, route or firewall rule that this machine lacks is a `shortage`.
CallResult startConnect(int socket, const sockaddr* address, socklen_t size);
/// The outcome of a connect that was under way; `wouldBlock` if it still is.
CallResult connectResult(int socket);
/// Returns true if the peer has ended its stream or reset it, even if not all it sent has been read.
bool peerHungUp(int socket);

}  // namespace merlinbridge::net
