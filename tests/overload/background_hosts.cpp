#include "background_hosts.hpp"

#include <charconv>
#include <optional>
#include <utility>

#include "http_text.hpp"
#include "support/messages.hpp"

namespace merlinbridge::testing {

BackgroundHosts::BackgroundHosts(std::size_t count, Duration responseDelay, std::string response)
    : BackgroundHosts(count, responseDelay,
                      [response = std::move(response)](const std::string&, const std::string&) {
                        return HostResponse{response};
                      }) {}

BackgroundHosts::BackgroundHosts(std::size_t count, Duration responseDelay, Respond respond)
    : responseDelay_(responseDelay), respond_(std::move(respond)), listeners_(count) {
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
      sendResponse(connection);
    }
    std::erase_if(connections_, [](const Connection& connection) { return connection.peer.remoteClosed; });
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
}

// A response that does not fit into the send buffer is cut; it holds the largest body by far.
void BackgroundHosts::sendResponse(Connection& connection) {
  connection.peer.send(connection.response.bytes);
  if (connection.response.after == HostResponse::After::keepAlive) return;
  connection.peer.remoteClosed = true;  // forgotten at the end of the turn
  if (connection.response.after == HostResponse::After::reset) connection.peer.closeWithReset();
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
  const std::size_t bodyBegin = head.size() + std::string_view(kHeadEnd).size();
  connection.response = respond_(head, bytes.substr(bodyBegin, *size - bodyBegin));
  bytes.erase(0, *size);
  connection.hasRequest = true;
  connection.answerAt = now + responseDelay_;
  const std::lock_guard lock(mutex_);
  received_.push_back(
      {fieldOf(head, "Req-Id"), head, connection.host, connection.connectedAt, connection.firstByteAt});
}

}  // namespace merlinbridge::testing
