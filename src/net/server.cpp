#include "net/server.hpp"

#include <fmt/compile.h>
#include <sys/resource.h>

#include <iterator>

#include "net/client/client_connection.hpp"

namespace merlinbridge::net {
namespace {

// Kept for the log, the loop, the listener, the counter and discovery.
constexpr std::size_t kReservedDescriptors = 32;
// Of the connect timeout: the first pause after a call that this machine could not serve.
constexpr int kRetryPauseParts = 50;
// Of the connect timeout: no wait of the event loop lasts longer.
constexpr int kCheckIntervalParts = 2;

// Clients and hosts share evenly what is left: a request needs one of each.
std::size_t shareOf(std::size_t descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
  return std::max<std::size_t>(1, (std::max(descriptors, kReservedDescriptors) - kReservedDescriptors) / 2);
}

// What is between two neighbours only does not pass on, nor what is written anew.
bool passesOn(std::string_view name) {
  for (const std::string_view own :
       {"Host", "Connection", "Content-Length", "Req-Deadline-Ms", "Transfer-Encoding", "Keep-Alive", "TE",
        "Trailer", "Upgrade", "Expect", "Proxy-Connection"})
    if (http::same(name, own)) return false;
  return true;
}

}  // namespace

Server::Server(EventLoop& loop, const config::GatewayConfig& config)
    : loop_(loop),
      clients_(loop, parseAddress(config.listen), shareOf(config.sockets), config.idle,
               config.longestDeadline),
      hosts_(loop, shareOf(config.sockets), config.idle, config.settings.connectTimeout),
      counter_(loop, config.counter,
               {config.settings.counterTimeout, config.settings.connectTimeout, config.idle}),
      discovery_(loop, config.discovery, config.known.generation, config.settings.connectTimeout,
                 config.drainGrace, config.seed),
      core_(config, loop.now(), loop.deadlines, *this) {
  loop_.setCheckInterval(config.settings.connectTimeout / kCheckIntervalParts);
  loop_.setRetryPause(config.settings.connectTimeout / kRetryPauseParts);
}

void Server::serve() {
  hosts_.serve(core_);
  counter_.serve(core_);
  discovery_.serve(core_);
  clients_.serve(core_);
  clients_.setReady(true);
}

void Server::moveTo(const std::string& discovery, const std::string& counter) {
  if (!counter.empty()) parseAddress(counter);
  discovery_.setAddress(discovery);
  counter_.setAddress(counter);
}

void Server::leave(TimePoint by) {
  core_.setAnswerDeadline(by);
  clients_.drain(by);
}

void Server::answerOk(SlotRef ref, std::string_view body, std::string_view type) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return;
  if (type.empty() || type.size() > 100) return client->answer(200, "", body);
  client->answer(200, fmt::format(FMT_COMPILE("Content-Type: {}\r\n"), type), body);
}

void Server::answerRejected(SlotRef ref, Duration retryAfter) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return;
  if (loop_.log.enabled(LogEvent::requestRejected))
    loop_.log(LogEvent::requestRejected, LogField{"request", client->message().get("Req-Id")},
              LogField{"status", 429});
  if (retryAfter <= Duration{0}) return client->answer(429, "", "");
  client->answer(429, fmt::format(FMT_COMPILE("Retry-After: {:.3f}\r\n"), seconds(retryAfter)), "");
}

void Server::answerFailed(SlotRef ref) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return;
  if (loop_.log.enabled(LogEvent::requestFailed))
    loop_.log(LogEvent::requestFailed, LogField{"request", client->message().get("Req-Id")},
              LogField{"status", 502});
  client->answer(502, "", "");
}

std::variant<SlotRef, Outcome> Server::startAttempt(RequestId requestId, AttemptNumber no, SlotRef ref,
                                                    HostId host, AttemptDeadline deadline) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return Outcome::notSent;
  const http::Message& asked = client->message();
  const std::string_view hop = asked.get("Connection");
  message_.clear();
  fmt::format_to(std::back_inserter(message_), FMT_COMPILE("{} {} HTTP/1.1\r\nHost: {}{}{}\r\n"),
                 asked.method(), asked.target(), core_.addressOf(host), kDeadlineField,
                 millisecondsLeft(deadline.abandonAt - loop_.now()));
  for (std::size_t n = 0; n < asked.fields(); ++n) {
    const auto [name, value] = asked.field(n);
    if (passesOn(name) && !http::listContains(hop, name))
      message_.append(name).append(": ").append(value).append("\r\n");
  }
  if (!asked.body().empty() || asked.method() != "GET")
    fmt::format_to(std::back_inserter(message_), FMT_COMPILE("Content-Length: {}\r\n"), asked.body().size());
  message_.append("\r\n").append(asked.body());
  if (loop_.log.enabled(LogEvent::attemptStarted))
    loop_.log(LogEvent::attemptStarted, LogField{"request", asked.get("Req-Id")},
              LogField{"request_number", requestId.value}, LogField{"attempt", no.value},
              LogField{"host", core_.nameOf(host)});
  return hosts_.startAttempt(host, message_, requestId, no, deadline);
}

bool Server::clientConnected(SlotRef ref) {
  const ClientConnection* const client = loop_.find<ClientConnection>(ref);
  return client && !client->peerHungUp();
}

void Server::addToCounter(const CounterKey& key, double units, Duration keepFor) {
  counter_.addToCounter(key, units, keepFor);
}

}  // namespace merlinbridge::net
