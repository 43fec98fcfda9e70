#include "gateway_core/client_request_ids.hpp"

namespace merlinbridge::core {

bool ClientRequestIds::contains(TimePoint now, ClientRequestId id) {
  forgetExpired(now);
  return ids_.contains(id.value);
}

bool ClientRequestIds::isFull(TimePoint now) {
  forgetExpired(now);
  return harmful_.size() >= maxClosed_;
}

void ClientRequestIds::close(TimePoint now, ClientRequestId id, Repeat repeat) {
  if (!isOpen(id)) return;
  ids_[id.value] = State::closed;
  (repeat == Repeat::harmless ? harmless_ : harmful_).push_back({now + closedFor_, id.value});
  if (harmless_.size() + harmful_.size() > maxClosed_) forgetOldest(harmless_.empty() ? harmful_ : harmless_);
}

void ClientRequestIds::forget(ClientRequestId id) {
  if (isOpen(id)) ids_.erase(id.value);
}

bool ClientRequestIds::isOpen(ClientRequestId id) const {
  const auto found = ids_.find(id.value);
  return found != ids_.end() && found->second == State::open;
}

void ClientRequestIds::forgetExpired(TimePoint now) {
  for (ClosedIds* const closed : {&harmless_, &harmful_})
    while (!closed->empty() && closed->front().until <= now) forgetOldest(*closed);
}

void ClientRequestIds::forgetOldest(ClosedIds& closed) {
  ids_.erase(closed.front().id);
  closed.pop_front();
}

}  // namespace merlinbridge::core
