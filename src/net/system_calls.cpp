#include "net/system_calls.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>

namespace merlinbridge::net {
namespace {

// Bounds the repeats of a call interrupted by signals; one more interruption counts as a shortage.
constexpr int kMaxEintrRetries = 64;

// Repeats the call while a signal interrupts it. Returns the result of the last call and preserves its errno.
template <class Call>
auto retryOnEintr(const Call& call) {
  auto result = call();
  for (int repeats = 0; result < 0 && errno == EINTR && repeats < kMaxEintrRetries; ++repeats)
    result = call();
  return result;
}

// EINTR: interrupted more than kMaxEintrRetries times in a row.
bool isShortage(int error) {
  return error == ENFILE || error == EMFILE || error == ENOBUFS || error == ENOMEM || error == ENOSPC ||
         error == EINTR;
}

// Classifies errno after a failed call on an established connection or a listener.
CallResult failureFromErrno() {
  const int error = errno;
  if (error == EAGAIN || error == EWOULDBLOCK) return {CallStatus::wouldBlock, 0, error};
  return {isShortage(error) ? CallStatus::shortage : CallStatus::broken, 0, error};
}

CallResult receiveWithFlags(int flags, int socket, char* into, std::size_t size) {
  const ssize_t received = retryOnEintr([&] { return ::recv(socket, into, size, flags | MSG_DONTWAIT); });
  if (received < 0) return failureFromErrno();
  if (received == 0) return {CallStatus::endOfStream};
  return {CallStatus::done, static_cast<std::size_t>(received)};
}

// Returns true for connect() errors with a local cause: ports, routes, firewall.
bool isLocalConnectFailure(int error) {
  return isShortage(error) || error == EADDRNOTAVAIL || error == EADDRINUSE || error == EAGAIN ||
         error == ENETUNREACH || error == ENETDOWN || error == EPERM || error == EACCES;
}

}  // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  std::swap(number_, other.number_);
  return *this;
}

// Not retried on error: Linux frees the descriptor even if close() fails.
Descriptor::~Descriptor() {
  if (number_ >= 0) ::close(number_);
}

CallResult receive(int socket, char* into, std::size_t size) {
  return receiveWithFlags(0, socket, into, size);
}

CallResult peek(int socket) {
  char byte = 0;
  return receiveWithFlags(MSG_PEEK, socket, &byte, 1);
}

CallResult send(int socket, const SendParts& parts) {
  std::array<iovec, std::tuple_size_v<SendParts>> vectors{};
  std::size_t count = 0;
  for (const std::string_view part : parts)
    if (!part.empty()) vectors[count++] = {const_cast<char*>(part.data()), part.size()};
  msghdr message{};
  message.msg_iov = vectors.data();
  message.msg_iovlen = count;
  const ssize_t sent = retryOnEintr([&] { return ::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT); });
  if (sent < 0) return failureFromErrno();
  return {CallStatus::done, static_cast<std::size_t>(sent)};
}

// On Linux, accept() also returns errors that are pending on the new connection. These affect that connection
// only, and the listener remains usable.
CallResult acceptConnection(int listener, Descriptor& accepted) {
  const int number =
      retryOnEintr([&] { return ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); });
  if (number < 0) return failureFromErrno();
  accepted = Descriptor(number);
  return {};
}

CallResult openStream(int family, Descriptor& opened) {
  const int number =
      retryOnEintr([&] { return ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); });
  if (number < 0) return {CallStatus::shortage, 0, errno};
  opened = Descriptor(number);
  return {};
}

// An interrupted connect() continues in the background; calling it again would only return EALREADY.
CallResult startConnect(int socket, const sockaddr* address, socklen_t size) {
  if (::connect(socket, address, size) == 0 || errno == EISCONN) return {};
  const int error = errno;
  if (error == EINPROGRESS || error == EALREADY || error == EINTR) return {CallStatus::wouldBlock, 0, error};
  return {isLocalConnectFailure(error) ? CallStatus::shortage : CallStatus::broken, 0, error};
}

// Unlike in startConnect(), errors such as ENETUNREACH come from the network here, not from this machine.
CallResult connectResult(int socket) {
  pollfd ready{socket, POLLOUT, 0};
  const int count = retryOnEintr([&] { return ::poll(&ready, 1, 0); });
  if (count < 0) return {CallStatus::shortage, 0, errno};
  if (count == 0) return {CallStatus::wouldBlock};
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
  if (error == 0) return {};
  return {isShortage(error) ? CallStatus::shortage : CallStatus::broken, 0, error};
}

bool isCausedByPeer(int error) {
  return error == ECONNRESET || error == EPIPE || error == ECONNREFUSED || error == ETIMEDOUT ||
         error == EHOSTUNREACH;
}

bool peerHungUp(int socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return retryOnEintr([&] { return ::poll(&state, 1, 0); }) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<Duration> timeSinceArrival(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr std::size_t kNeededBytes =
      offsetof(tcp_info, tcpi_last_data_recv) + sizeof(info.tcpi_last_data_recv);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeededBytes)
    return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool isAllAcknowledged(int socket) {
  int unacknowledged = 0;
  return ::ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

}  // namespace merlinbridge::net
