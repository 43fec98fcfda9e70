#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// The remote ends of the gateway's sockets: clients, hosts, the counter service and discovery, simulated
/// by a test on loopback with plain non-blocking sockets.
///
/// No call here blocks. A test that waits for bytes polls with a time limit:
/// GatewayUnderTest::runUntil() if the gateway runs in the test's own process, within() of program.hpp if it
/// runs in a child process.
namespace merlinbridge::testing {

/// One end of a TCP connection, held by the test. Owns its socket and closes it on destruction.
class TestPeer {
 public:
  /// Takes over a connected or connecting `socket` and makes it non-blocking.
  explicit TestPeer(int socket);
  TestPeer(const TestPeer&) = delete;
  TestPeer& operator=(const TestPeer&) = delete;
  TestPeer(TestPeer&& other) noexcept;
  TestPeer& operator=(TestPeer&& other) noexcept;
  ~TestPeer() { close(); }

  /// Connects to 127.0.0.1:`port`. A refused connection is not reported here: it shows as remoteClosed when
  /// the peer reads.
  static TestPeer connectTo(std::uint16_t port);

  /// Closes the socket. The kernel sends a FIN, or a RST if received bytes are still unread.
  void close();
  /// Closes the socket with a RST, as the kernel does for a process that dies with unread bytes.
  void closeWithReset();
  /// Half-closes the connection: sends a FIN and keeps reading.
  void shutdownSend() const;

  /// Sends `text`. Bytes beyond the free space of the send buffer are dropped, and so are errors.
  void send(std::string_view text) const { (void)trySend(text); }
  /// Sends what fits into the send buffer. Returns the number of bytes taken; 0 on any error.
  std::size_t trySend(std::string_view text) const;
  /// Bytes in the send buffer that the remote kernel has not acknowledged yet.
  int unacknowledgedBytes() const;

  /// Reads all bytes that have arrived and returns receivedBytes. Sets remoteClosed at a FIN or an error.
  std::string& readAvailable();
  /// Reads, and returns true if receivedBytes contains `text`.
  bool hasReceived(std::string_view text);
  /// Reads, and returns true if the remote end has closed or reset the connection.
  bool isClosedByRemote();
  /// Returns true if a RST has arrived, also behind a FIN that has been read already.
  bool hasPendingReset() const;

  std::string receivedBytes;  ///< All bytes read so far. A test may clear it between two messages.
  bool remoteClosed = false;  ///< The remote end has closed the connection, by a FIN or a RST.
  bool wasReset = false;      ///< The remote end has closed the connection by a RST.

 private:
  int socket_;
};

/// A listening socket on 127.0.0.1, held by the test. Owns its socket and closes it on destruction.
class PeerListener {
 public:
  /// Listens on `wantedPort`; on any free port if it is 0.
  explicit PeerListener(std::uint16_t wantedPort = 0);
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;
  ~PeerListener() { close(); }

  /// Stops listening: further connections are refused. Connections already accepted stay open.
  void close();
  /// Accepts one waiting connection into `accepted`. Returns false, without waiting, if there is none.
  bool accept(std::optional<TestPeer>& accepted) const;
  /// Address in the form "127.0.0.1:port", as configuration names it.
  std::string address() const;
  /// Changes the number of connections that the kernel completes before they are accepted.
  void setBacklog(int backlog) const;

  std::uint16_t port;

 private:
  int socket_;
};

/// A listener at which new connections neither complete nor are refused: its accept queue holds one
/// connection and is full from the start, so the kernel drops further SYNs, and the connecting side stays in
/// SYN_SENT.
class UnreachableListener : public PeerListener {
 public:
  UnreachableListener();

  /// Makes the listener reachable. A connecting side gets through when its kernel sends its next SYN, which
  /// takes a second or more of real time.
  void open();

 private:
  TestPeer fillAcceptQueue() const;

  TestPeer queuedConnection_;
};

/// Returns the number of file descriptors that this process has open.
std::size_t openDescriptorCount();

}  // namespace merlinbridge::testing
