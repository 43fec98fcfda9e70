#include "net/discovery/discovery_watch.hpp"

#include <fmt/format.h>

namespace merlinbridge::net {
namespace {

// The protocol's: while nothing changes, an empty line comes so often.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);
// No list is longer: some thousands of hosts, indented.
constexpr std::size_t kMaxListBytes = 2 * 1024 * 1024;
// Of a beat, on the mean: the longest wait after a refusal, and how long a list that was told is good for.
// With two refusals, or one ask that hangs, before the one that is answered, a change is known well within
// the 6 s after which it counts as told: the sum stands in docs/crossings.md.
constexpr double kMaxRejectedBackoff = 0.5, kPollInterval = 0.75;
// Of the connect timeout: the least wait, where the settings leave drains no time at all.
constexpr int kMinBackoffParts = 8;
// While watches are rejected, one is asked for again each so many asks.
constexpr int kWatchEveryPolls = 4;

}  // namespace

WatchConnection::WatchConnection(EventLoop& loop, DiscoveryWatch& watch, std::string_view message)
    : Connection(loop), watch_(watch), lastHeardAt_(loop.now()) {
  send({message});
}

void WatchConnection::onData() {
  lastHeardAt_ = loop_.now();
  if (!inBody_) {
    const auto stage = head_.advance(buffer_.data(), buffer_.size());
    if (stage == http::Message::Stage::head) return;
    if (stage == http::Message::Stage::bad || head_.status() != 200) return onClosed();
    inBody_ = true;
    buffer_.drop(head_.bodyAt());
  }
  std::size_t raw = decoded_;
  auto end = http::Chunks::End::more;
  if (head_.chunked()) {
    end = chunks_.take(buffer_.data(), decoded_, raw, buffer_.size());
    buffer_.cut(decoded_, raw);
  } else {
    decoded_ = buffer_.size();
  }
  takeLists();
  if (isUp() && (end != http::Chunks::End::more || decoded_ > kMaxListBytes)) onClosed();
}

void WatchConnection::takeLists() {
  while (isUp()) {
    const std::size_t seen = splitter_.at();
    const bool waited = splitter_.begun();
    const auto end = splitter_.take(buffer_.view().substr(0, decoded_));
    if (end == config::JsonStreamSplitter::End::bad) return onClosed();
    // Guards against a list that is begun and never ended, though beats come all the while.
    if (!waited && (splitter_.begun() || end == config::JsonStreamSplitter::End::object))
      objectBegunAt_ = loop_.now();
    if (splitter_.begun() ? splitter_.from() > seen : splitter_.at() > seen) {
      watch_.pollsSinceWatch_ = -1;  // a watch that was had is asked for again first
      watch_.markHealthy();
    }
    std::string list;
    if (end == config::JsonStreamSplitter::End::object)
      list = buffer_.view().substr(splitter_.from(), splitter_.at() - splitter_.from());
    if (const std::size_t done = splitter_.begun() ? splitter_.from() : splitter_.at(); done > 0) {
      buffer_.drop(done);
      decoded_ -= done;
      splitter_.dropped(done);
    }
    if (end == config::JsonStreamSplitter::End::more) return;
    if (!watch_.take(std::move(list))) return onClosed();
  }
}

void WatchConnection::onClosed() {
  if (watch_.link_ != ref()) return;
  const bool refused = head_.stage() == http::Message::Stage::done && head_.status() != 200;
  loop_.closeDeferred(ref());
  watch_.scheduleNext(refused ? PollResult::refused : PollResult::silent);
}

// Guards against a watch that is silent for ever, be its machine or the way to it gone.
TimePoint WatchConnection::waitDeadline() const {
  const TimePoint from = splitter_.begun() ? std::min(objectBegunAt_, lastHeardAt_) : lastHeardAt_;
  return from + (isUp() ? kHeartbeatInterval + watch_.connectTimeout_ : watch_.connectTimeout_);
}

PollConnection::PollConnection(EventLoop& loop, DiscoveryWatch& watch, std::string_view message)
    : Connection(loop),
      watch_(watch),
      message_(http::Message::Kind::answer, http::Message::Body::whole, kMaxListBytes),
      since_(loop.now()) {
  send({message});
}

void PollConnection::onData() {
  const auto stage = message_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::bad) return over(PollResult::silent);
  if (stage != http::Message::Stage::done) return;
  if (message_.status() != 200) return over(PollResult::refused);
  over(watch_.take(std::string(message_.body())) ? PollResult::updated : PollResult::silent);
}

void PollConnection::over(PollResult how) {
  if (watch_.link_ != ref()) return;
  loop_.closeDeferred(ref());
  watch_.scheduleNext(how);
}

TimePoint PollConnection::waitDeadline() const {
  return since_ + kHeartbeatInterval + watch_.connectTimeout_;
}

DiscoveryWatch::DiscoveryWatch(EventLoop& loop, std::string address, std::uint64_t from,
                               Duration connectTimeout, Duration drainGrace, std::uint64_t seed)
    : loop_(loop),
      address_(std::move(address)),
      peer_(parseAddress(address_)),
      generation_(from),
      connectTimeout_(connectTimeout),
      drainGrace_(drainGrace),
      chance_(static_cast<std::uint32_t>(seed)) {}

void DiscoveryWatch::serve(core::GatewayCore& core) {
  core_ = &core;
  open();
}

// Guards against discovery that rejects watches, as where it bears no more of them: the whole list is told
// to whoever asks, and every fourth time a watch is asked for once more.
void DiscoveryWatch::open() {
  nextPoll_ = {};
  const auto ask = [this](std::string_view what) {
    return fmt::format("GET /registry/instances{} HTTP/1.1\r\nHost: {}\r\n\r\n", what, address_);
  };
  Connection* link = nullptr;
  if (pollsSinceWatch_ % kWatchEveryPolls == 0) {
    link = &loop_.open<WatchConnection>(*this, ask(fmt::format("?watch=1&from={}", generation_)));
  } else {
    link = &loop_.open<PollConnection>(*this, ask(""));
  }
  link_ = link->ref();
  link->connect(peer_);
}

bool DiscoveryWatch::take(std::string line) {
  try {
    line.reserve(line.size() + simdjson::SIMDJSON_PADDING);
    simdjson::dom::parser parser;
    config::element root;
    if (parser.parse(line).get(root) || !root.is_object())
      throw config::ConfigError("a line is not a JSON object");
    const config::EndpointList endpoints = config::readEndpointList(config::Fields("discovery", root));
    generation_ = endpoints.generation;
    markHealthy();
    core_->endpointsUpdated(loop_.now(), endpoints);
    return true;
  } catch (const config::ConfigError& e) {
    loop_.log(LogEvent::endpointListInvalid, LogField{"error", std::string_view(e.what())});
    return false;
  }
}

void DiscoveryWatch::markHealthy() {
  failuresInRow_ = 0;
  if (std::exchange(lost_, false))
    loop_.log(LogEvent::discoveryRestored, LogField{"generation", generation_});
}

// Guards against many gateways that ask a crowded discovery again in step, and against asking ever on: where
// it rejects them, the wait doubles up to a few beats, and each draws its own; a list that was told is
// good for a beat. Where nothing was said at all, the agent may be told of changes the moment after, and
// these count as told: then the wait stays well under the time in which a drain has to be heeded.
void DiscoveryWatch::scheduleNext(PollResult how) {
  link_ = {};
  const bool wasWatch = pollsSinceWatch_ % kWatchEveryPolls == 0;
  pollsSinceWatch_ = wasWatch && how == PollResult::silent ? 0 : pollsSinceWatch_ + 1;
  if (how != PollResult::updated && !std::exchange(lost_, true))
    loop_.log(LogEvent::discoveryUnreachable, LogField{"generation", generation_});
  const Duration longest = scaled(kHeartbeatInterval, kMaxRejectedBackoff);
  const Duration most =
      how == PollResult::refused
          ? longest
          : std::clamp(drainGrace_ / 2, std::min(connectTimeout_ / kMinBackoffParts, longest), longest);
  const Duration wait = how == PollResult::updated
                            ? scaled(kHeartbeatInterval, kPollInterval)
                            : std::min(most, connectTimeout_ * (1 << std::min(failuresInRow_++, 8)));
  const double drawn = 0.5 + double(chance_()) / double(chance_.max());
  nextPoll_ = loop_.deadlines.add(loop_.now() + scaled(wait, drawn), [this](TimePoint) { open(); });
}

// Guards against a watch that the old address ends in its own time, with what was told meanwhile missed: the
// new one is opened at once and tells all since the last generation. Given the same address again, it only
// makes haste where it would have waited.
void DiscoveryWatch::moveTo(const std::string& address) {
  const SocketAddress peer = parseAddress(address);
  if (address == address_ && link_) return;
  address_ = address, peer_ = peer;
  if (link_) loop_.closeDeferred(std::exchange(link_, {}));
  if (nextPoll_) loop_.deadlines.cancel(nextPoll_);
  failuresInRow_ = pollsSinceWatch_ = 0;
  open();
}

}  // namespace merlinbridge::net
