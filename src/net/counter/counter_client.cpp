#include "net/counter/counter_client.hpp"

#include <fmt/compile.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace merlinbridge::net {
namespace {

constexpr std::size_t kMaxCallBytes = 256;
// The first letter of a counter's name in the path tells what is counted.
constexpr char kQuotaUsePrefix = 'u';
constexpr char kInFlightTimePrefix = 'o';

SocketAddress counterAddress(const std::string& address) {
  return address.empty() ? SocketAddress() : parseAddress(address);
}

}  // namespace

CounterClient::CounterClient(EventLoop& loop, std::string address, const CounterTimeouts& timeouts)
    : loop_(loop),
      address_(std::move(address)),
      peerAddress_(counterAddress(address_)),
      timeouts_(timeouts) {}

void CounterClient::setAddress(const std::string& address) {
  const SocketAddress peerAddress = counterAddress(address);
  if (address == address_) return;
  address_ = address;
  peerAddress_ = peerAddress;
  for (const SlotRef old : std::exchange(connections_, {}))
    if (auto* const connection = loop_.find<CounterConnection>(old)) connection->retire();
}

void CounterClient::addToCounter(const CounterKey& key, double units, Duration keepFor) {
  CounterConnection& connection = leastBusyConnection();
  const auto keepMs = std::chrono::duration_cast<std::chrono::milliseconds>(keepFor).count();
  const char kind = key.kind == CounterKey::Kind::quotaUsage ? kQuotaUsePrefix : kInFlightTimePrefix;
  std::array<char, kMaxCallBytes> message{};
  const auto end = fmt::format_to_n(
      message.data(), message.size(),
      FMT_COMPILE("POST /tally/{}{}.{}?n={}&keep_ms={} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n"),
      kind, key.customer.value, key.slot.value, units, keepMs, address_);
  connection.call(key, {message.data(), std::min(end.size, message.size())});
}

// Returns the first connection without calls in flight, or else the one with the fewest. The second
// connection is not opened before the first has a call in flight.
CounterConnection& CounterClient::leastBusyConnection() {
  CounterConnection* leastBusy = &connectionAt(connections_.front());
  for (std::size_t index = 1; index < connections_.size() && leastBusy->callsInFlight() > 0; ++index) {
    CounterConnection& other = connectionAt(connections_[index]);
    if (other.callsInFlight() < leastBusy->callsInFlight()) leastBusy = &other;
  }
  return *leastBusy;
}

// Returns the connection in `slot`; opens one if there is none.
CounterConnection& CounterClient::connectionAt(SlotRef& slot) {
  if (auto* const existing = loop_.find<CounterConnection>(slot)) return *existing;
  CounterConnectionOwner& owner = *this;
  auto& connection = loop_.open<CounterConnection>(owner, timeouts_);
  slot = connection.ref();
  connection.connect(peerAddress_);
  return connection;
}

void CounterClient::counterConnectionClosed(SlotRef connection) {
  std::replace(connections_.begin(), connections_.end(), connection, SlotRef{});
}

void CounterClient::counterCallEnded(TimePoint now, const CounterCallResult& result) {
  core_->counterCallEnded(now, result.key, result.outcome, result.total, result.duration);
}

}  // namespace merlinbridge::net
