#include "net/upstream/upstream_pool.hpp"

#include <charconv>
#include <cmath>
#include <system_error>

#include "config/policy_settings_reader.hpp"

namespace merlinbridge::net {
namespace {

double numberOf(std::string_view text) {
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::isfinite(value) ? value : 0;  // "nan" and "inf" are numbers to the parser, not here
}

std::string_view nameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "ok";
    case Outcome::error:
      return "error";
    case Outcome::rejected:
      return "rejected";
    case Outcome::noAnswer:
      return "no answer";
    case Outcome::noConnection:
      return "no connection";
    case Outcome::lost:
      return "lost";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::notSent:
      return "not sent";
  }
  return "unknown";
}

}  // namespace

long millisecondsLeft(Duration left) {
  return std::max<long>(std::chrono::ceil<std::chrono::milliseconds>(left).count(), 1);
}

UpstreamConnection::UpstreamConnection(EventLoop& loop, UpstreamPool& hosts, HostId host)
    : Connection(loop), hosts_(hosts), host_(host), since_(loop.now()) {}

std::optional<Outcome> UpstreamConnection::start(std::string_view message, RequestId requestId,
                                                 AttemptNumber no, AttemptDeadline deadline) {
  state_ = State::attempt, requestId_ = requestId, no_ = no;
  writtenBy_ = deadline.writeBy, giveUp_ = deadline.abandonAt;
  if (!isUp()) {
    queuedRequest_ = message;
    updateWaitTimer();
    return std::nullopt;
  }
  starting_ = true;
  requestBytes_ = message.size();
  send({message});
  if (std::exchange(starting_, false)) {
    if (!allWritten()) updateWaitTimer();
    return std::nullopt;
  }
  return Outcome::noConnection;  // it broke before the last byte was written
}

void UpstreamConnection::onData() {
  if (state_ == State::idle) return hosts_.close(ref());  // nothing was asked: stray bytes
  const auto stage = message_.advance(buffer_.data(), received());
  // An answer that cannot be read is no answer that this was kept from: it may have run.
  if (stage == http::Message::Stage::bad) return ended(Outcome::error);
  if (stage == http::Message::Stage::done) ended(outcomeOf(), readResponse());
}

// A host that is told of time that has passed meanwhile would work for a client that has gone.
std::string UpstreamConnection::withTimeLeft(std::string_view message) const {
  std::string text(message);
  const std::size_t from = text.find(kDeadlineField) + kDeadlineField.size();
  text.replace(from, text.find('\r', from) - from, std::to_string(millisecondsLeft(giveUp_ - loop_.now())));
  return text;
}

// As long as not a byte of it has gone.
void UpstreamConnection::beforeRetry() {
  if (state_ != State::attempt || requestBytes_ == 0 || unsentBytes() != requestBytes_) return;
  const std::string message = withTimeLeft(unsent());
  requestBytes_ = message.size();
  replaceUnsent(message);
}

void UpstreamConnection::onConnected() {
  if (queuedRequest_.empty()) return;
  const std::string message = withTimeLeft(std::exchange(queuedRequest_, {}));
  requestBytes_ = message.size();
  if (!mayWrite()) return ended(Outcome::notSent);
  starting_ = true;
  send({message});
  // It broke before the last byte was written: it never ran.
  if (!std::exchange(starting_, false))
    return hosts_.core_->attemptEnded(loop_.now(), requestId_, no_, Outcome::noConnection);
  if (!allWritten()) updateWaitTimer();
}

// Guards against an attempt whose connection comes up after its window, or once its client has gone.
bool UpstreamConnection::mayWrite() const {
  return loop_.now() < writtenBy_ &&
         (state_ != State::attempt || starting_ || hosts_.core_->isPending(requestId_));
}

// By the protocol's table.
Outcome UpstreamConnection::outcomeOf() const {
  const int status = message_.status();
  if (status == 200) return Outcome::ok;
  if ((status == 503 || status == 504) && message_.get("Srv-Declined") == "1") return Outcome::rejected;
  return Outcome::error;
}

core::UpstreamResponse UpstreamConnection::readResponse() const {
  core::UpstreamResponse response{message_.body(), {}, 0, {}};
  for (std::size_t n = 0; n < message_.fields(); ++n) {
    auto [name, value] = message_.field(n);
    if (http::same(name, "Content-Type")) response.type = value;
    if (http::same(name, "Billed-Units")) response.trueUnits = numberOf(value);
    if (!http::same(name, "Srv-Load")) continue;
    while (!value.empty()) {
      const auto comma = std::min(value.find(','), value.size());
      const auto word = value.substr(0, comma);
      const auto equals = word.find('=');
      if (equals != std::string_view::npos)
        config::readLoadFigure(response.load, word.substr(0, equals), numberOf(word.substr(equals + 1)));
      value.remove_prefix(std::min(value.size(), comma + 1));
    }
  }
  return response;
}

// Guards against an answer without a length that a reset cuts short: only the end of the stream ends it.
void UpstreamConnection::onClosed() {
  message_.movedTo(buffer_.data());  // room was made for what did not come
  const bool answered = peerEnded() && message_.begun() && message_.ended() == http::Message::Stage::done;
  if (state_ == State::idle) return hosts_.close(ref());
  if (answered) return ended(outcomeOf(), readResponse());
  if (isUnsent() && !mayWrite()) return ended(Outcome::notSent);
  ended(isUp() && allWritten() ? Outcome::lost : Outcome::noConnection);
}

void UpstreamConnection::ended(Outcome outcome, const core::UpstreamResponse& response) {
  const TimePoint now = loop_.now();
  if (state_ == State::attempt) logEnd(outcome);
  const auto doing = std::exchange(state_, State::idle);
  if (std::exchange(starting_, false)) return hosts_.close(ref());  // carry() says so
  const bool keeps = message_.stage() == http::Message::Stage::done && message_.keepsAlive() && isUp() &&
                     allWritten() && message_.size() == buffer_.size();
  // An answer that goes to the client stays in the buffer until it is written; whatever else comes of the
  // end may use this connection again.
  if (!keeps) hosts_.close(ref());
  if (keeps && outcome != Outcome::ok) becomeIdle();
  const SlotRef mine = ref();
  if (doing == State::attempt) hosts_.core_->attemptEnded(now, requestId_, no_, outcome, response);
  if (keeps && outcome == Outcome::ok && loop_.find(mine)) becomeIdle();
}

void UpstreamConnection::becomeIdle() {
  buffer_.drop(buffer_.size());
  message_.clear();
  since_ = loop_.now();
  auto& resting = hosts_.idleConnections_;
  if (resting.size() <= host_.value) resting.resize(host_.value + 1);
  resting[host_.value].push_back(ref());
}

void UpstreamConnection::logEnd(Outcome outcome) {
  if (!loop_.log.enabled(LogEvent::attemptEnded)) return;
  loop_.log(LogEvent::attemptEnded, LogField{"request_number", requestId_.value},
            LogField{"attempt", no_.value}, LogField{"host", hosts_.core_->nameOf(host_)},
            LogField{"outcome", nameOf(outcome)}, LogField{"error", errorText(lastError())});
}

TimePoint UpstreamConnection::waitDeadline() const {
  if (!isUp()) return std::min(since_ + hosts_.connectTimeout_, writtenBy_);
  // The attempt has a deadline of its own.
  if (state_ == State::attempt) return allWritten() ? loop_.now() + hosts_.idle_ : writtenBy_;
  return since_ + hosts_.idle_;
}

void UpstreamConnection::onTimeout() {
  if (state_ == State::idle) return hosts_.close(ref());
  if (isUnsent() && !mayWrite()) return ended(Outcome::notSent);
  if (failedLocally()) return ended(Outcome::notSent);
  // Idle connections to a machine that has vanished are closed, too: their silence says nothing.
  if (!isUp()) hosts_.closeIdle(host_);
  ended(isUp() ? Outcome::noAnswer : Outcome::noConnection);
}

// Of the connect timeout: a connection is taken again only when nothing has come on it for so long.
constexpr int kReuseDelayParts = 25;

// A host closes what has rested for the stated time: half of it is on the safe side, and costs nothing.
UpstreamPool::UpstreamPool(EventLoop& loop, std::size_t maxConnections, Duration idle,
                           Duration connectTimeout)
    : loop_(loop),
      maxConnections_(maxConnections),
      idle_(idle / 2),
      connectTimeout_(connectTimeout),
      reuseDelay_(connectTimeout / kReuseDelayParts) {}

std::variant<SlotRef, Outcome> UpstreamPool::startAttempt(HostId host, std::string_view message,
                                                          RequestId requestId, AttemptNumber no,
                                                          AttemptDeadline deadline) {
  UpstreamConnection* const link = connectionTo(host);
  if (!link) return Outcome::notSent;
  const SlotRef ref = link->ref();
  if (const auto ended = link->start(message, requestId, no, deadline)) return *ended;
  return ref;
}

// Guards against a second answer that comes some milliseconds after the first, which would be taken for the
// answer to the next attempt; and against stray bytes, or an end, that came in this very turn. Hurts a host
// that is asked again at once: it gets a further connection.
UpstreamConnection* UpstreamPool::connectionTo(HostId host) {
  if (idleConnections_.size() <= host.value) idleConnections_.resize(host.value + 1);
  for (std::size_t n = idleConnections_[host.value].size(); n-- > 0;) {
    const SlotRef ref = idleConnections_[host.value][n];
    auto* const link = loop_.find<UpstreamConnection>(ref);
    if (link && loop_.now() - link->idleSince() < reuseDelay_) continue;
    idleConnections_[host.value].erase(idleConnections_[host.value].begin() + static_cast<std::ptrdiff_t>(n));
    if (link && link->nothingReceived()) return link;
    if (link) close(ref);
  }
  if (all_.size() >= maxConnections_ && !evictIdle()) return nullptr;
  try {
    const SocketAddress at = parseAddress(core_->addressOf(host));
    UpstreamConnection& link = loop_.open<UpstreamConnection>(*this, host);
    all_.push_back(link.ref());
    link.connect(at);
    return &link;
  } catch (const std::invalid_argument& e) {
    loop_.log(LogEvent::endpointAddressInvalid, LogField{"host", core_->nameOf(host)},
              LogField{"error", std::string_view(e.what())});
    return nullptr;
  }
}

bool UpstreamPool::evictIdle() {
  UpstreamConnection* oldest = nullptr;
  for (const SlotRef ref : all_) {
    auto* const link = loop_.find<UpstreamConnection>(ref);
    if (link && link->idle() && (!oldest || link->idleSince() < oldest->idleSince())) oldest = link;
  }
  if (oldest) close(oldest->ref());
  return oldest != nullptr;
}

void UpstreamPool::close(SlotRef ref) {
  std::erase(all_, ref);
  if (const auto* const link = loop_.find<UpstreamConnection>(ref); link && link->idle())
    std::erase(idleConnections_[link->host().value], ref);
  loop_.closeDeferred(ref);
}

void UpstreamPool::closeAttempt(SlotRef ref) {
  close(ref);
}

bool UpstreamPool::isUnsent(SlotRef ref) {
  const auto* const link = loop_.find<UpstreamConnection>(ref);
  return link && link->isUnsent();
}

void UpstreamPool::closeIdle(HostId host) {
  if (idleConnections_.size() <= host.value) return;
  for (const SlotRef ref : std::exchange(idleConnections_[host.value], {})) close(ref);
}

}  // namespace merlinbridge::net
