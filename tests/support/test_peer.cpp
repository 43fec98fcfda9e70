#include "test_peer.hpp"

#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <iterator>
#include <utility>

namespace merlinbridge::testing {

namespace {

constexpr int kDefaultBacklog = 64;
constexpr std::size_t kReadChunkBytes = 4096;

sockaddr_in loopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int newSocket() {
  return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

}  // namespace

TestPeer::TestPeer(int socket) : socket_(socket) {
  fcntl(socket_, F_SETFL, O_NONBLOCK);
}

TestPeer::TestPeer(TestPeer&& other) noexcept
    : receivedBytes(std::move(other.receivedBytes)),
      remoteClosed(other.remoteClosed),
      wasReset(other.wasReset),
      socket_(std::exchange(other.socket_, -1)) {}

TestPeer& TestPeer::operator=(TestPeer&& other) noexcept {
  std::swap(socket_, other.socket_);
  std::swap(receivedBytes, other.receivedBytes);
  std::swap(remoteClosed, other.remoteClosed);
  std::swap(wasReset, other.wasReset);
  return *this;
}

TestPeer TestPeer::connectTo(std::uint16_t port) {
  const int socket = newSocket();
  const sockaddr_in address = loopbackAddress(port);
  // A connect error is reported by the first read or write.
  (void)::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return TestPeer(socket);
}

void TestPeer::close() {
  if (socket_ >= 0) ::close(std::exchange(socket_, -1));
}

void TestPeer::closeWithReset() {
  const linger discardAtOnce{1, 0};
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &discardAtOnce, sizeof discardAtOnce);
  close();
}

void TestPeer::shutdownSend() const {
  ::shutdown(socket_, SHUT_WR);
}

std::size_t TestPeer::trySend(std::string_view text) const {
  const ssize_t taken = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
  return static_cast<std::size_t>(std::max<ssize_t>(0, taken));
}

int TestPeer::unacknowledgedBytes() const {
  int count = 0;
  ::ioctl(socket_, SIOCOUTQ, &count);
  return count;
}

std::string& TestPeer::readAvailable() {
  std::array<char, kReadChunkBytes> chunk{};
  while (socket_ >= 0 && !remoteClosed) {
    const ssize_t count = ::read(socket_, chunk.data(), chunk.size());
    if (count == 0) remoteClosed = true;
    if (count > 0) receivedBytes.append(chunk.data(), static_cast<std::size_t>(count));
    if (count >= 0) continue;
    if (errno != EAGAIN) remoteClosed = wasReset = true;
    break;
  }
  return receivedBytes;
}

bool TestPeer::hasReceived(std::string_view text) {
  return readAvailable().find(text) != std::string::npos;
}

bool TestPeer::isClosedByRemote() {
  readAvailable();
  return remoteClosed;
}

bool TestPeer::hasPendingReset() const {
  pollfd state{socket_, 0, 0};
  return socket_ >= 0 && ::poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) != 0;
}

PeerListener::PeerListener(std::uint16_t wantedPort) : port(wantedPort), socket_(newSocket()) {
  const int enabled = 1;
  ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = loopbackAddress(wantedPort);
  socklen_t size = sizeof address;
  (void)::bind(socket_, reinterpret_cast<sockaddr*>(&address), size);
  ::listen(socket_, kDefaultBacklog);
  fcntl(socket_, F_SETFL, O_NONBLOCK);
  ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
}

void PeerListener::close() {
  if (socket_ >= 0) ::close(std::exchange(socket_, -1));
}

bool PeerListener::accept(std::optional<TestPeer>& accepted) const {
  const int connection = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
  if (connection >= 0) accepted.emplace(connection);
  return connection >= 0;
}

std::string PeerListener::address() const {
  return "127.0.0.1:" + std::to_string(port);
}

void PeerListener::setBacklog(int backlog) const {
  ::listen(socket_, backlog);
}

UnreachableListener::UnreachableListener() : queuedConnection_(fillAcceptQueue()) {}

void UnreachableListener::open() {
  std::optional<TestPeer> queued;
  accept(queued);
  setBacklog(kDefaultBacklog);
}

TestPeer UnreachableListener::fillAcceptQueue() const {
  setBacklog(0);
  return TestPeer::connectTo(port);
}

std::size_t openDescriptorCount() {
  const std::filesystem::directory_iterator descriptors("/proc/self/fd");
  return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

}  // namespace merlinbridge::testing
