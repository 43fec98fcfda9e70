#include "net/event_loop.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <stdexcept>

#include "net/connection.hpp"

namespace merlinbridge::net {
namespace {

// Timers that run later than this show that the event loop stalled; the slack of the deadlines is smaller.
constexpr Duration kStallThreshold = std::chrono::milliseconds(150);

}  // namespace

SocketAddress parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  std::uint16_t port = 0;
  Error error;
  const auto host = asio::ip::make_address(address.substr(0, std::min(colon, address.size())), error);
  if (error || colon == std::string::npos) throw std::invalid_argument("'" + address + "' is no address");
  const char* const textEnd = address.data() + address.size();
  const auto [portEnd, portError] = std::from_chars(address.data() + colon + 1, textEnd, port);
  if (portError != std::errc{} || portEnd != textEnd)
    throw std::invalid_argument("'" + address + "' has no port");
  return {host, port};
}

EventLoop::EventLoop(Log& eventLog, const Clock& clock)
    : strand(io.get_executor()), log(eventLog), faults(eventLog), clock_(clock), timer_(strand) {}
EventLoop::~EventLoop() = default;

Connection* EventLoop::find(SlotRef ref) {
  const auto at = connections_.find(ref);
  return at ? at->get() : nullptr;
}

void EventLoop::closeDeferred(SlotRef ref) {
  const auto at = connections_.find(ref);
  if (!at) return;
  (*at)->close();
  closing_.push_back(std::move(*at));
  connections_.drop(ref);
}

void EventLoop::run(const PeriodicCheck& check) {
  while (!io.stopped()) {
    io.run_for(checkInterval_);
    if (io.stopped()) return;
    recoverMissedReadiness();
    check();
    endTurn();
  }
}

// Ends waits whose readiness the system does not report, as after a failed epoll_ctl, whose result Asio
// ignores: a connection that poll() finds ready, and whose wait is still open once all pending events are
// handled, goes on as if its wait had ended. See ReadinessWatchdog.
void EventLoop::recoverMissedReadiness() {
  pollDescriptors_.clear();
  polledConnections_.clear();
  connections_.forEach([this](SlotRef ref, const std::unique_ptr<Connection>& connection) {
    const pollfd awaited = connection->socket().awaitedReadiness();
    if (awaited.events == 0) return;
    pollDescriptors_.push_back(awaited);
    polledConnections_.push_back(ref);
  });
  if (pollDescriptors_.empty() || ::poll(pollDescriptors_.data(), pollDescriptors_.size(), 0) <= 0) return;
  for (std::size_t row = 0; row < pollDescriptors_.size(); ++row)
    if (pollDescriptors_[row].revents != 0) find(polledConnections_[row])->socket().readiness().markReady();
  io.poll();
  for (const SlotRef ref : polledConnections_)
    if (Connection* const connection = find(ref)) connection->socket().endMissedWait();
}

void EventLoop::endTurn() {
  runDueDeadlines();
  // By index: a flush may add connections to be flushed.
  for (std::size_t row = 0; row < pendingFlushes_.size();
       ++row)  // NOLINT(modernize-loop-convert): grows meanwhile
    if (Connection* const connection = find(pendingFlushes_[row])) connection->flush();
  pendingFlushes_.clear();
  closing_.clear();
  if (const TimePoint next = deadlines.nextDueAt();
      next != TimePoint::max() && next + coalescingWindow_ != armedFor_)
    armTimer(next + coalescingWindow_);
  turnTime_.reset();
}

void EventLoop::runDueDeadlines() {
  const TimePoint due = deadlines.nextDueAt();
  if (due > now()) return;
  if (now() - due >= kStallThreshold) faults.recordEventLoopStall(now(), now() - due);
  deadlines.run(now());
}

// A turn that only runs deadlines costs more than the deadlines do, so the timer is set late by the
// coalescing window: any earlier turn runs them in passing.
void EventLoop::armTimer(TimePoint at) {
  armedFor_ = at;
  timer_.expires_after(std::max(Duration{0}, at - clock_.now()));
  timer_.async_wait([this, at](const Error& error) {
    if (error || at != armedFor_) return;
    armedFor_ = TimePoint::max();
    endTurn();
  });
}

}  // namespace merlinbridge::net
