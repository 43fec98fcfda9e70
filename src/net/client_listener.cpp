#include "net/client_listener.hpp"

#include <fmt/compile.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/yield.hpp>

namespace merlinbridge::net {
namespace {

// The operators': no attempt begins later than that after its client has left.
constexpr Duration kLeftHeeded = std::chrono::milliseconds(100);
// Looks in that time for an end that stands behind much that was sent on ahead.
constexpr int kLooks = 3;
// All clients together may have sent so much on ahead that is read only for the sake of their end.
constexpr std::size_t kMostAhead = 32 * (http::kMostHead + http::kMostBody);
// Of the longest deadline: so long a client has to close whose place is wanted.
constexpr int kRoomPatience = 8;
// Of all places: so many are wanted back at once at the most.
constexpr std::size_t kRoomShare = 8;

std::string_view phraseOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Gateway";
  }
}

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop, Socket socket, ClientListener& clients)
    : Connection(loop, std::move(socket)), clients_(clients), since_(loop.now()) {}

void ClientConnection::bytesCame() {
  if (lingering_) return buffer_.drop(buffer_.size());
  if (!requestId_ && !message_.begun()) since_ = loop_.now();
  if (!requestId_) readOn();
  if (!requestId_ && message_.begun()) watchWait();
  if (full()) watchEnd();
}

// Guards against a client that sends much on ahead and goes: its end stands behind what is not read, and may
// even wait at its own end for room here. While its request waits, more of it is read, as long as all clients
// together leave room for that; after that, only an end that has come can be seen.
void ClientConnection::watchEnd() {
  if (std::exchange(watchingEnd_, true)) return;
  loop_.deadlines.add(loop_.now() + kLeftHeeded / kLooks, [&loop = loop_, mine = ref()](TimePoint) {
    auto* const client = loop.find<ClientConnection>(mine);
    if (!client) return;
    client->watchingEnd_ = false;
    if (!client->full()) return;
    if (client->hungUp()) return client->broken();
    const std::size_t held = client->clients_.held();
    client->mayHold_ =
        std::max(client->mayHold_, held < kMostAhead ? client->buffer_.size() + kMostAhead - held : 0);
    client->goOnReading();
    client->watchEnd();
  });
}

// Reads requests as long as there are whole ones and none waits for its answer.
void ClientConnection::readOn() {
  if (std::exchange(reading_, true)) return;
  while (isUp() && !requestId_ && !lingering_ && allWritten() && !buffer_.empty()) {
    const auto stage = message_.advance(buffer_.data(), came());
    if (stage == http::Message::Stage::bad) {
      lastAnswer_ = true;
      refuse(message_.blame(), "bad framing\n");
    } else if (stage == http::Message::Stage::done) {
      take();
    } else {
      if (message_.expectsContinue() && stage == http::Message::Stage::body &&
          message_.bodyAt() == buffer_.size())
        send({"HTTP/1.1 100 Continue\r\n\r\n"});
      break;
    }
  }
  reading_ = false;
}

void ClientConnection::take() {
  const std::string_view path = message_.target().substr(0, message_.target().find('?'));
  const bool named = !message_.get("Req-Id").empty();
  if (!named && path == "/health/ready")
    return clients_.ready_ ? refuse(200, "ready\n") : refuse(503, "not ready\n");
  if (!named && path == "/health/live") return refuse(200, "live\n");
  // Their answers are framed in other ways than a host's answer to a request.
  if (message_.method() == "HEAD" || message_.method() == "CONNECT")
    return refuse(405, "not a request's method\n");
  // Guards against a request that was sent on ahead by a client that has gone since.
  if (full() && hungUp()) return broken();
  const TimePoint now = loop_.now();
  core::GatewayCore& core = *clients_.core_;
  const core::ParsedRequest ask = core::parseRequest(message_, core.words(), core.settings(), now);
  if (!ask.fault.empty()) return refuse(400, std::string(ask.fault) + "\n");
  asking_ = true;
  const RequestId requestId = core.requestArrived(now, ref(), ask.request);
  if (std::exchange(asking_, false)) requestId_ = requestId;
}

void ClientConnection::refuse(int status, std::string_view why) {
  answer(status, "Content-Type: text/plain\r\n", why);
}

void ClientConnection::answer(int status, std::string_view fields, std::string_view body) {
  if (!isUp()) return;
  asking_ = false;
  requestId_.reset();
  const bool whole = message_.stage() == http::Message::Stage::done;
  // Guards against a request that was taken behind this one and that the end would drop.
  const bool more = clients_.leaving_ && whole && (buffer_.size() > message_.size() || unread());
  lastAnswer_ = lastAnswer_ || !message_.keepsAlive() ||
                (clients_.leaving_ && (!more || loop_.now() >= clients_.lastBy_));
  const bool head = asked().method() == "HEAD";
  std::array<char, 256> line{};
  const auto end = fmt::format_to_n(
      line.data(), line.size(), FMT_COMPILE("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n{}{}\r\n"), status,
      phraseOf(status), body.size(), fields, lastAnswer_ ? "Connection: close\r\n" : "");
  buffer_.drop(whole ? message_.size() : buffer_.size());
  mayHold_ = 0;
  message_.clear();
  since_ = loop_.now();
  send({{line.data(), std::min(end.size, line.size())}, head ? std::string_view() : body});
  if (!allWritten()) watchWait();
}

void ClientConnection::written() {
  if (lastAnswer_ && !requestId_ && !message_.begun()) return halfClose(clients_.maxDeadline_);
  goOnReading();
  if (!reading_ && !buffer_.empty()) readOnSoon();
  if (resting()) clients_.rested();
}

// Guards against a request, sent on ahead, that would reach the module while it is still at the answer
// before.
void ClientConnection::readOnSoon() {
  asio::post(loop_.strand, [&loop = loop_, mine = ref()] {
    if (auto* const client = loop.find<ClientConnection>(mine)) client->readOn();
    loop.endTurn();
  });
}

// Guards against a reset that overtakes the last answer: the rest of what the client sends is read, too. What
// is read from here on was not taken, and is never sent on: the client sees the end and asks elsewhere.
void ClientConnection::halfClose(Duration patience) {
  if (lingering_ || !isUp()) return;
  lingering_ = true;
  lingerUntil_ = loop_.now() + patience;
  buffer_.drop(buffer_.size());
  shutdownSend();
  watchWait();
  goOnReading();
}

bool ClientConnection::full() const {
  return (requestId_ || reading_) && buffer_.size() > std::max(message_.size() + http::kMostHead, mayHold_);
}

// The end of a client right behind what it sent is its leaving, also where that would be read too late.
std::size_t ClientConnection::readsOnTo() const {
  return lingering_ || requestId_ ? 0 : http::kMostHead + http::kMostBody;
}

TimePoint ClientConnection::waitEnds() const {
  if (lingering_) return lingerUntil_;
  if (requestId_) return loop_.now() + clients_.maxDeadline_;  // its answer has a deadline of its own
  return since_ + (message_.begun() || !allWritten() ? clients_.maxDeadline_ : clients_.idle_);
}

// Guards against a reset for a client whose next request crosses the end of its rest.
void ClientConnection::waitedTooLong() {
  if (lingering_ || !allWritten()) return broken();
  if (message_.begun()) {
    lastAnswer_ = true;
    return refuse(408, "the rest of the request did not come\n");
  }
  if (untouched()) return halfClose(clients_.maxDeadline_);
  since_ = loop_.now();  // it is about to be read
  watchWait();
}

void ClientConnection::broken() {
  const auto requestId = std::exchange(requestId_, std::nullopt);
  clients_.closed(ref());
  loop_.closeDeferred(ref());
  if (requestId) clients_.core_->clientLeft(loop_.now(), *requestId);
}

ClientListener::ClientListener(EventLoop& loop, const SocketAddress& at, std::size_t most, Duration idle,
                               Duration longestDeadline)
    : loop_(loop), acceptor_(loop.strand), most_(most), idle_(idle), maxDeadline_(longestDeadline) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(static_cast<int>(most_));
  acceptor_.non_blocking(true);
}

void ClientListener::serve(core::GatewayCore& core) {
  core_ = &core;
  acceptStep({});
}

void ClientListener::acceptStep(Error error) {
  if (!acceptor_.is_open()) return;
  const auto resume = [this](const Error& e) {
    acceptStep(e);
    loop_.endTurn();
  };
  reenter(accepting_) {
    while (acceptor_.is_open()) {
      // Guards against a client that loses its connection though nobody waits for its place.
      if (all_.size() >= most_) {
        yield acceptor_.async_wait(decltype(acceptor_)::wait_read, resume);
      }
      while (all_.size() >= most_) {
        makeRoom();
        paused_ = true;
        yield return;
      }
      {
        Socket socket(loop_.strand);
        acceptor_.accept(socket, error);
        if (!error) {
          welcome(std::move(socket));
          continue;
        }
      }
      if (error == asio::error::would_block || error == asio::error::try_again) {
        roomWanted_ = 1;  // nobody waits any more
        yield acceptor_.async_wait(decltype(acceptor_)::wait_read, resume);
      } else if (error != asio::error::connection_aborted && error != asio::error::interrupted) {
        // Out of descriptors after all: it goes on when one has been given back.
        loop_.log(Level::warning, "accept_paused", "accepting pauses: ", error.message());
        paused_ = true;
        loop_.deadlines.add(loop_.now() + maxDeadline_, [this](TimePoint) { goOnAccepting(); });
        yield return;
      }
    }
  }
}

void ClientListener::welcome(Socket socket) {
  ClientConnection& client = loop_.open<ClientConnection>(std::move(socket), *this);
  all_.push_back(client.ref());
  client.start();
}

void ClientListener::goOnAccepting() {
  if (std::exchange(paused_, false)) acceptStep({});
}

void ClientListener::closed(SlotRef ref) {
  std::erase(all_, ref);
  if (paused_) goOnAcceptingSoon();
}

// Guards against a client that waits at the door for ever: all places were taken by requests when it came,
// and now rest.
void ClientListener::rested() {
  if (paused_ && all_.size() >= most_) goOnAcceptingSoon();
}

void ClientListener::goOnAcceptingSoon() {
  asio::post(loop_.strand, [this] {
    goOnAccepting();
    loop_.endTurn();
  });
}

// Makes room for new clients by the connections that have rested longest: one, and twice as many each time
// that it was not enough. Guards against a crowd of idle clients that lets in one newcomer in a round trip,
// or in a patience where they do not close, while the others' time runs out at the door. What has come and is
// not yet read is a request that was taken.
void ClientListener::makeRoom() {
  std::vector<ClientConnection*> resting;
  std::size_t closing = 0;
  for (const SlotRef ref : all_) {
    ClientConnection* const client = loop_.find<ClientConnection>(ref);
    if (client && client->lingering()) ++closing;
    if (client && client->resting()) resting.push_back(client);
  }
  if (closing >= roomWanted_) return;
  std::sort(resting.begin(), resting.end(),
            [](const ClientConnection* a, const ClientConnection* b) { return a->since() < b->since(); });
  for (ClientConnection* const client : resting) {
    if (closing >= roomWanted_) break;
    if (!client->untouched()) continue;
    client->halfClose(maxDeadline_ / kRoomPatience);
    ++closing;
  }
  roomWanted_ = std::min(2 * roomWanted_, std::max<std::size_t>(1, most_ / kRoomShare));
}

std::size_t ClientListener::held() {
  std::size_t bytes = 0;
  for (const SlotRef ref : all_)
    if (const ClientConnection* const client = loop_.find<ClientConnection>(ref)) bytes += client->held();
  return bytes;
}

bool ClientListener::quiet() {
  return std::all_of(all_.begin(), all_.end(), [this](SlotRef ref) {
    const ClientConnection* const client = loop_.find<ClientConnection>(ref);
    return !client || client->resting() || client->lingering();
  });
}

void ClientListener::leave(TimePoint by) {
  ready_ = false, leaving_ = true;
  lastBy_ = by;
}

void ClientListener::closeIdle(Duration since) {
  for (const SlotRef ref : std::vector(all_))
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref);
        client && client->resting() && loop_.now() - client->since() >= since && client->untouched())
      client->halfClose(maxDeadline_);
}

// Guards against requests on connections that the system has accepted and this has not: they are taken, too.
bool ClientListener::shut() {
  Error error;
  bool came = false;
  while (acceptor_.is_open() && all_.size() < most_) {
    Socket socket(loop_.strand);
    acceptor_.accept(socket, error);
    if (error) break;
    welcome(std::move(socket));
    came = true;
  }
  if (!came) acceptor_.close(error);
  return !came;
}

void ClientListener::discard() {
  for (const SlotRef ref : all_)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref)) client->discard();
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
