#include "net/server.hpp"

#include <fmt/compile.h>
#include <sys/resource.h>

#include <algorithm>

#include "net/client/client_connection.hpp"
#include "net/forwarded_request.hpp"
#include "net/header_fields.hpp"

namespace merlinbridge::net {
namespace {

// Descriptors reserved for the log, the event loop, the listening socket, the counter service and discovery.
constexpr std::size_t kReservedDescriptors = 32;
// The buffers of all connections may take the process's memory divided by this.
constexpr std::size_t kBufferMemoryDivisor = 4;
// The initial pause after a local resource shortage is the connect timeout divided by this.
constexpr int kRetryPauseDivisor = 50;
// The event loop's check interval is the connect timeout divided by this.
constexpr int kCheckIntervalDivisor = 2;

// memory_watermark is logged for each of this many parts of the limit.
constexpr std::size_t kMemoryParts = 8;
constexpr std::size_t kKilobyte = 1024;

constexpr int kStatusOk = 200;
constexpr int kStatusBadGateway = 502;

// A longer Content-Type from a host is omitted, because the size of a response head is limited.
constexpr std::size_t kMaxContentTypeBytes = 100;

// The maximum number of client connections, and likewise of host connections, if the process may use
// `descriptors`. Each side gets half of those not reserved, since a request needs one connection of each.
std::size_t connectionsPerSide(std::size_t descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) descriptors = std::min<std::size_t>(descriptors, limit.rlim_cur);
  return std::max<std::size_t>(1, (std::max(descriptors, kReservedDescriptors) - kReservedDescriptors) / 2);
}

}  // namespace

Server::Server(EventLoop& loop, const config::GatewayConfig& config)
    : loop_(loop),
      clients_(loop, parseAddress(config.listenAddress), connectionsPerSide(config.maxDescriptors),
               {config.idleTimeout, config.longestDeadline}),
      hosts_(loop, connectionsPerSide(config.maxDescriptors), config.idleTimeout,
             config.settings.connectTimeout),
      counter_(loop, config.counterAddress,
               {config.settings.counterTimeout, config.settings.connectTimeout, config.idleTimeout}),
      discovery_(loop, config.discoveryAddress, config.knownEndpoints.generation,
                 config.settings.connectTimeout, config.drainGrace, config.seed),
      maxMemoryKilobytes_(std::max<std::size_t>(1, config.maxMemoryBytes / kKilobyte)),
      core_(config, loop.now(), loop.deadlines, *this) {
  loop_.setCheckInterval(config.settings.connectTimeout / kCheckIntervalDivisor);
  loop_.buffers.setLimit(config.maxMemoryBytes / kBufferMemoryDivisor);
  loop_.setRetryPause(config.settings.connectTimeout / kRetryPauseDivisor);
}

void Server::checkMemory() {
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) return;
  const auto peakKilobytes = static_cast<std::size_t>(usage.ru_maxrss);
  const std::size_t eighths = peakKilobytes * kMemoryParts / maxMemoryKilobytes_;
  if (eighths <= loggedMemoryEighths_) return;
  loggedMemoryEighths_ = eighths;
  loop_.log(LogEvent::memoryWatermark, LogField{"peak_kb", peakKilobytes},
            LogField{"limit_kb", maxMemoryKilobytes_},
            LogField{"buffers_kb", loop_.buffers.usedBytes() / kKilobyte},
            LogField{"clients", clients_.connectionCount()});
}

void Server::serve() {
  hosts_.setCore(core_);
  counter_.setCore(core_);
  discovery_.start(core_);
  clients_.serve(core_);
}

// Parses the counter's address first, so that nothing changes if it is invalid.
void Server::setAddresses(const std::string& discovery, const std::string& counter) {
  if (!counter.empty()) parseAddress(counter);
  discovery_.setAddress(discovery);
  counter_.setAddress(counter);
}

void Server::startDraining(TimePoint answerBy) {
  core_.setAnswerDeadline(answerBy);
  clients_.drain(answerBy);
}

void Server::sendResponse(SlotRef ref, std::string_view body, std::string_view type) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return;
  if (type.empty() || type.size() > kMaxContentTypeBytes) return client->answer(kStatusOk, "", body);
  client->answer(kStatusOk, fmt::format(FMT_COMPILE("Content-Type: {}\r\n"), type), body);
}

void Server::sendRejection(SlotRef ref, Duration retryAfter) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return;
  if (loop_.log.enabled(LogEvent::requestRejected))
    loop_.log(LogEvent::requestRejected, LogField{"request", client->message().get(kRequestIdField)},
              LogField{"status", kStatusTooManyRequests});
  client->reject(retryAfter);
}

void Server::sendFailure(SlotRef ref) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return;
  if (loop_.log.enabled(LogEvent::requestFailed))
    loop_.log(LogEvent::requestFailed, LogField{"request", client->message().get(kRequestIdField)},
              LogField{"status", kStatusBadGateway});
  client->answer(kStatusBadGateway, "", "");
}

std::variant<SlotRef, Outcome> Server::startAttempt(RequestId requestId, AttemptNumber attemptNumber,
                                                    SlotRef ref, HostId host, AttemptDeadline deadline) {
  ClientConnection* const client = loop_.find<ClientConnection>(ref);
  if (!client) return Outcome::notSent;
  const http::Message& request = client->message();
  writeForwardedRequest(request, core_.addressOf(host), deadline.abandonAt - loop_.now(), forwardedRequest_);
  if (loop_.log.enabled(LogEvent::attemptStarted))
    loop_.log(LogEvent::attemptStarted, LogField{"request", request.get(kRequestIdField)},
              LogField{"request_number", requestId.value}, LogField{"attempt", attemptNumber.value},
              LogField{"host", core_.nameOf(host)});
  return hosts_.startAttempt(host, forwardedRequest_, requestId, attemptNumber, deadline);
}

// Closing the connection ends the attempt immediately; the pool reports no outcome for it.
bool Server::closeAttempt(SlotRef /*client*/, AttemptNumber /*attemptNumber*/, SlotRef connection) {
  hosts_.closeAttempt(connection);
  return true;
}

core::ClientState Server::clientState(SlotRef ref) {
  const ClientConnection* const client = loop_.find<ClientConnection>(ref);
  return client ? client->clientState() : core::ClientState::disconnected;
}

void Server::addToCounter(const CounterKey& key, double units, Duration keepFor) {
  counter_.addToCounter(key, units, keepFor);
}

}  // namespace merlinbridge::net
