#include "net/event_loop.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <stdexcept>

#include "net/connection.hpp"

namespace merlinbridge::net {
namespace {

// A deadline that runs this late indicates a stalled event loop: the coalescing window is shorter.
constexpr Duration kStallThreshold = std::chrono::milliseconds(150);
// Bounds handlePendingEvents(), as a multiple of the connections: clients that send continuously add an event
// for each one that is handled.
constexpr std::size_t kMaxEventsPerConnection = 4;
constexpr std::size_t kMinPendingEvents = 256;

}  // namespace

SocketAddress parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  std::uint16_t port = 0;
  Error error;
  const auto host = asio::ip::make_address(address.substr(0, std::min(colon, address.size())), error);
  if (error || colon == std::string::npos)
    throw std::invalid_argument("invalid address '" + address + "': expected IP:PORT");
  const char* const textEnd = address.data() + address.size();
  const auto [portEnd, portError] = std::from_chars(address.data() + colon + 1, textEnd, port);
  if (portError != std::errc{} || portEnd != textEnd)
    throw std::invalid_argument("invalid port in address '" + address + "'");
  return {host, port};
}

EventLoop::EventLoop(Log& eventLog, const Clock& clock)
    : strand(io.get_executor()), log(eventLog), faults(eventLog), clock_(clock), timer_(strand) {}
EventLoop::~EventLoop() = default;

Connection* EventLoop::find(SlotRef ref) {
  const auto slot = connections_.find(ref);
  return slot ? slot->get() : nullptr;
}

void EventLoop::closeDeferred(SlotRef ref) {
  const auto slot = connections_.find(ref);
  if (!slot) return;
  (*slot)->close();
  closing_.push_back(std::move(*slot));
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

// Ends waits whose readiness the system does not report, for example after a failed epoll_ctl(), whose result
// Asio ignores. If poll() finds a connection ready and its wait is still open after all pending events have
// been handled, the connection continues as if the wait had ended. See ReadinessWatchdog.
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
  const bool allHandled = handlePendingEvents();
  for (const SlotRef ref : polledConnections_)
    if (Connection* const connection = find(ref)) connection->socket().endMissedWait(allHandled);
}

bool EventLoop::handlePendingEvents() {
  const std::size_t maxEvents = kMinPendingEvents + kMaxEventsPerConnection * connections_.size();
  for (std::size_t events = 0; events < maxEvents; ++events)
    if (io.poll_one() == 0) return true;
  return false;
}

void EventLoop::endTurn() {
  runDueDeadlines();
  // NOLINTNEXTLINE(modernize-loop-convert): iterates by index, since a flush may append to the vector
  for (std::size_t row = 0; row < pendingFlushes_.size(); ++row)
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

// A turn costs more than the deadlines it runs, so endTurn() sets the timer late by the coalescing window:
// usually another event's turn runs the due deadlines first.
void EventLoop::armTimer(TimePoint expiry) {
  armedFor_ = expiry;
  timer_.expires_after(std::max(Duration{0}, expiry - clock_.now()));
  timer_.async_wait([this, expiry](const Error& error) {
    if (error || expiry != armedFor_) return;
    armedFor_ = TimePoint::max();
    endTurn();
  });
}

}  // namespace merlinbridge::net
