#include "net/counter/counter_client.hpp"

#include <fmt/compile.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace merlinbridge::net {
namespace {

// Of the connect timeout: how long a connection to an old address may still wait for its answers. The
// address closes it a second and a half after the move, or later.
constexpr int kRetireTimeouts = 4;

SocketAddress counterAt(const std::string& address) {
  return address.empty() ? SocketAddress() : parseAddress(address);
}

}  // namespace

CounterConnection::CounterConnection(EventLoop& loop, CounterClient& counter, std::size_t number)
    : Connection(loop), counter_(counter), number_(number), lastHeardAt_(loop.now()) {}

void CounterConnection::call(const CounterKey& name, std::string_view message) {
  const TimePoint now = loop_.now();
  if (calls_.empty()) lastHeardAt_ = now;
  const std::uint64_t number = first_ + calls_.size();
  calls_.push_back({name, now, {}, false});
  calls_.back().timeout =
      loop_.deadlines.add(now + counter_.timeout_, [&loop = loop_, mine = ref(), number](TimePoint at) {
        if (auto* const link = loop.find<CounterConnection>(mine)) link->unanswered(at, number);
      });
  sendLater(message);
}

// Not answered in time: it may have been added all the same. A connection on which nothing comes is replaced.
void CounterConnection::unanswered(TimePoint now, std::uint64_t number) {
  if (number < first_ || number - first_ >= calls_.size()) return;
  Call& call = calls_[number - first_];
  if (std::exchange(call.reported, true)) return;
  const CounterKey name = call.name;
  const Duration took = now - call.madeAt;
  // Not one byte of it has been written, nor must be any more: nothing was added.
  const bool never = !isUp();
  if (never || now - lastHeardAt_ >= counter_.connectTimeout_) onClosed();
  counter_.core_->counterCallEnded(
      now, name, never ? CounterCallOutcome::notAdded : CounterCallOutcome::unknown, 0, took);
  if (mayEnd()) onClosed();
}

// Guards against a connection that the old address closes under calls, and against calls told to have failed
// though they will be added: those on their way end by the protocol's table, none is made any more.
void CounterConnection::retire() {
  retired_ = true;
  if (!isUp() || mayEnd()) return onClosed();
  loop_.deadlines.add(loop_.now() + kRetireTimeouts * counter_.connectTimeout_,
                      [&loop = loop_, mine = ref()](TimePoint) {
                        if (auto* const link = loop.find<CounterConnection>(mine)) link->onClosed();
                      });
}

bool CounterConnection::mayEnd() const {
  return retired_ && std::all_of(calls_.begin(), calls_.end(), [](const Call& c) { return c.reported; });
}

void CounterConnection::onData() {
  lastHeardAt_ = loop_.now();
  // Guards against reading as answers the calls that what is told here leads to: they wait behind.
  while (isUp() && received() > 0) {
    const auto stage = message_.advance(buffer_.data(), received());
    if (stage == http::Message::Stage::bad || calls_.empty()) return onClosed();
    if (stage != http::Message::Stage::done) return;
    const Call call = calls_.front();
    calls_.pop_front();
    ++first_;
    const std::string_view body = message_.body();
    double total = 0;
    // Guards against words that the parser takes for numbers, as "inf": no total is one.
    const bool read = std::from_chars(body.data(), body.data() + body.size(), total).ec == std::errc{} &&
                      std::isfinite(total);
    const int status = message_.status();
    const bool refused = status == 503 || status == 400 || status == 404;
    const CounterCallOutcome end = status == 200 && read ? CounterCallOutcome::ok
                                   : refused             ? CounterCallOutcome::notAdded
                                                         : CounterCallOutcome::unknown;
    const bool last = !message_.keepsAlive();
    buffer_.drop(message_.size());
    message_.clear();
    if (!call.reported) {
      loop_.deadlines.cancel(call.timeout);
      counter_.core_->counterCallEnded(lastHeardAt_, call.name, end,
                                       end == CounterCallOutcome::ok ? total : 0, lastHeardAt_ - call.madeAt);
    }
    if (last || mayEnd()) return onClosed();
  }
}

void CounterConnection::onClosed() {
  if (loop_.find(ref()) != this) return;
  if (counter_.links_[number_] == ref()) counter_.links_[number_] = {};
  const bool never = !isUp();
  const auto calls = std::exchange(calls_, {});
  loop_.closeDeferred(ref());
  const TimePoint now = loop_.now();
  for (const Call& call : calls) {
    if (call.reported) continue;
    loop_.deadlines.cancel(call.timeout);
    counter_.core_->counterCallEnded(now, call.name,
                                     never ? CounterCallOutcome::notAdded : CounterCallOutcome::unknown, 0,
                                     now - call.madeAt);
  }
}

TimePoint CounterConnection::waitDeadline() const {
  if (!isUp()) return lastHeardAt_ + counter_.connectTimeout_;
  return calls_.empty() ? lastHeardAt_ + counter_.idle_ : loop_.now() + counter_.idle_;
}

CounterClient::CounterClient(EventLoop& loop, std::string address, Duration timeout, Duration connectTimeout,
                             Duration idle)
    : loop_(loop),
      address_(std::move(address)),
      peer_(counterAt(address_)),
      timeout_(timeout),
      connectTimeout_(connectTimeout),
      idle_(idle) {}

void CounterClient::moveTo(const std::string& address) {
  const SocketAddress peer = counterAt(address);
  if (address == address_) return;
  address_ = address, peer_ = peer;
  for (const SlotRef old : std::exchange(links_, {}))
    if (auto* const link = loop_.find<CounterConnection>(old)) link->retire();
}

// The first connection that is free, else the one with the fewest calls on it.
void CounterClient::add(const CounterKey& name, double units, Duration keepFor) {
  CounterConnection* least = nullptr;
  for (std::size_t n = 0; n < links_.size() && !(least && least->waiting() == 0); ++n) {
    auto* link = loop_.find<CounterConnection>(links_[n]);
    if (!link) {
      link = &loop_.open<CounterConnection>(*this, n);
      links_[n] = link->ref();
      link->connect(peer_);
    }
    if (!least || link->waiting() < least->waiting()) least = link;
  }
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(keepFor).count();
  std::array<char, 256> line{};
  const auto end = fmt::format_to_n(
      line.data(), line.size(),
      FMT_COMPILE("POST /tally/{}{}.{}?n={}&keep_ms={} HTTP/1.1\r\nHost: {}\r\nContent-Length: 0\r\n\r\n"),
      name.kind == CounterKey::Kind::quotaUse ? 'u' : 'o', name.customer.value, name.slot.value, units, ms,
      address_);
  least->call(name, {line.data(), std::min(end.size, line.size())});
}

}  // namespace merlinbridge::net
