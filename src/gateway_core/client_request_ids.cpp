#include "gateway_core/client_request_ids.hpp"

namespace merlinbridge::core {
namespace {

// Closed ids that are kept at the same time. Bounds the memory.
constexpr std::size_t kMaxClosedIds = 16384;

}  // namespace

bool ClientRequestIds::contains(TimePoint now, std::string_view id) {
  while (!closed_.empty() && closed_.front().until <= now) forgetOldestClosed();
  return ids_.find(id) != ids_.end();
}

void ClientRequestIds::open(std::string_view id) {
  if (!id.empty()) ids_.emplace(id, State::open);
}

void ClientRequestIds::close(TimePoint now, std::string_view id) {
  const auto found = findOpen(id);
  if (found == ids_.end()) return;
  if (closed_.size() >= kMaxClosedIds) forgetOldestClosed();
  found->second = State::closed;
  closed_.push_back({now + closedFor_, found});
}

void ClientRequestIds::forget(std::string_view id) {
  const auto found = findOpen(id);
  if (found != ids_.end()) ids_.erase(found);
}

ClientRequestIds::Ids::iterator ClientRequestIds::findOpen(std::string_view id) {
  const auto found = ids_.find(id);
  return found != ids_.end() && found->second == State::open ? found : ids_.end();
}

void ClientRequestIds::forgetOldestClosed() {
  ids_.erase(closed_.front().id);
  closed_.pop_front();
}

}  // namespace merlinbridge::core
