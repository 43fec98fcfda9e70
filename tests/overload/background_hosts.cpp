#include "background_hosts.hpp"

#include <charconv>
#include <optional>
#include <utility>

#include "http_text.hpp"
#include "support/messages.hpp"

namespace merlinbridge::testing {

BackgroundHosts::BackgroundHosts(std::size_t count, Duration responseDelay, std::string response)
    : responseDelay_(responseDelay), response_(std::move(response)), listeners_(count) {
  for (const PeerListener& listener : listeners_) listener.setBacklog(1024);
  thread_ = std::thread([this] { run(); });
}

BackgroundHosts::~BackgroundHosts() {
  stopped_ = true;
  thread_.join();
}

std::string BackgroundHosts::endpoints(const std::string& startedAtMs) const {
  std::string list;
  for (std::size_t number = 0; number < listeners_.size(); ++number) {
    const std::string entry =
        endpointJson(listeners_[number].port, "h" + std::to_string(number), "in_service");
    if (number == 0) list = replaceOnce(entry, "\"startedAtMs\":0", "\"startedAtMs\":" + startedAtMs);
    if (number > 0) list += "," + entry;
  }
  return list;
}

std::vector<ReceivedRequest> BackgroundHosts::received() const {
  const std::lock_guard lock(mutex_);
  return received_;
}

void BackgroundHosts::run() {
  while (!stopped_) {
    acceptConnections();
    const SteadyTime now = std::chrono::steady_clock::now();
    for (Connection& connection : connections_) {
      if (!connection.hasRequest) readRequest(connection, now);
      if (!connection.hasRequest || !answers_ || now < connection.answerAt) continue;
      connection.hasRequest = false;
      connection.peer.send(response_);
    }
    std::erase_if(connections_, [](const Connection& connection) { return connection.peer.remoteClosed; });
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
}

void BackgroundHosts::acceptConnections() {
  for (std::size_t number = 0; number < listeners_.size(); ++number)
    for (std::optional<TestPeer> accepted; listeners_[number].accept(accepted); accepted.reset())
      connections_.push_back({std::move(*accepted), number, std::chrono::steady_clock::now()});
}

void BackgroundHosts::readRequest(Connection& connection, SteadyTime now) {
  std::string& bytes = connection.peer.receivedBytes;
  const bool wasEmpty = bytes.empty();
  connection.peer.readAvailable();
  if (wasEmpty && !bytes.empty()) connection.firstByteAt = now;
  const std::optional<std::size_t> size = completeMessageSize(bytes);
  if (!size) return;
  const std::string head = bytes.substr(0, bytes.find(kHeadEnd));
  bytes.erase(0, *size);
  connection.hasRequest = true;
  connection.answerAt = now + responseDelay_;
  const std::lock_guard lock(mutex_);
  received_.push_back(
      {fieldOf(head, "Req-Id"), head, connection.host, connection.connectedAt, connection.firstByteAt});
}

}  // namespace merlinbridge::testing
