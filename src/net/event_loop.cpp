#include "net/event_loop.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <stdexcept>

#include "net/connection.hpp"

namespace merlinbridge::net {
namespace {

// A timer that runs so much too late shows that the whole process was held up; the deadlines allow for less.
constexpr Duration kHeldUpFrom = std::chrono::milliseconds(150);

}  // namespace

SocketAddress parseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  std::uint16_t port = 0;
  Error error;
  const auto host = asio::ip::make_address(address.substr(0, std::min(colon, address.size())), error);
  if (error || colon == std::string::npos) throw std::invalid_argument("'" + address + "' is no address");
  const auto [end, fault] =
      std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  if (fault != std::errc{} || end != address.data() + address.size())
    throw std::invalid_argument("'" + address + "' has no port");
  return {host, port};
}

EventLoop::EventLoop(Log& lines, const Clock& clock)
    : strand(io.get_executor()), log(lines), faults(lines), clock_(clock), timer_(strand) {}
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

void EventLoop::run(const std::function<void()>& check) {
  while (!io.stopped()) {
    io.run_for(checkInterval_);
    if (io.stopped()) return;
    recoverMissedReadiness();
    check();
    endTurn();
  }
}

// Guards against a failed epoll_ctl, which Asio does not look at: a connection that is ready, and whose wait
// has not ended once all that the system has passed on is handled, goes on as if it had.
void EventLoop::recoverMissedReadiness() {
  polled_.clear();
  polledConnections_.clear();
  connections_.each([this](SlotRef ref, const std::unique_ptr<Connection>& connection) {
    const pollfd awaited = connection->socket().awaitedReadiness();
    if (awaited.events == 0) return;
    polled_.push_back(awaited);
    polledConnections_.push_back(ref);
  });
  if (polled_.empty() || ::poll(polled_.data(), polled_.size(), 0) <= 0) return;
  for (std::size_t n = 0; n < polled_.size(); ++n)
    if (polled_[n].revents != 0) find(polledConnections_[n])->socket().readiness().markReady();
  io.poll();
  for (std::size_t n = 0; n < polled_.size(); ++n)
    if (Connection* const connection = find(polledConnections_[n])) connection->socket().endMissedWait();
}

void EventLoop::endTurn() {
  runDue();
  // By index: a flush may add to what is still to be flushed.
  for (std::size_t n = 0; n < toFlush_.size(); ++n)  // NOLINT(modernize-loop-convert): grows meanwhile
    if (Connection* const connection = find(toFlush_[n])) connection->flush();
  toFlush_.clear();
  closing_.clear();
  if (const TimePoint next = deadlines.nextDueAt();
      next != TimePoint::max() && next + coalesceWithin_ != armedFor_)
    arm(next + coalesceWithin_);
  turnAt_.reset();
}

void EventLoop::runDue() {
  const TimePoint due = deadlines.nextDueAt();
  if (due > now()) return;
  if (now() - due >= kHeldUpFrom) faults.recordHeldUp(now(), now() - due);
  deadlines.run(now());
}

// A turn of its own for a deadline costs more than all else that it does: it comes only where none other did.
void EventLoop::arm(TimePoint at) {
  armedFor_ = at;
  timer_.expires_after(std::max(Duration{0}, at - clock_.now()));
  timer_.async_wait([this, at](const Error& error) {
    if (error || at != armedFor_) return;
    armedFor_ = TimePoint::max();
    endTurn();
  });
}

}  // namespace merlinbridge::net
