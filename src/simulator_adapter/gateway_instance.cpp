#include "simulator_adapter/gateway_instance.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "gateway_core/engine_log_event.hpp"
#include "simulator_adapter/message_reader.hpp"

namespace merlinbridge::simulator_adapter {
namespace {

using core::SlotRef;

WireRequestId wireIdOf(SlotRef client) {
  return {client.packed()};
}

}  // namespace

GatewayInstance::GatewayInstance(std::int64_t number, const GatewayStart& start, TimePoint now,
                                 ReplyBuffer& reply)
    : writer_(number, reply),
      loadFieldNames_(start.loadFieldNames),
      core_(start.config, now, deadlines_, *this, core::DeadlineEnforcer::adapter) {}

void GatewayInstance::handle(const Message& message, TimePoint now) {
  dispatch(message, now);
  updateTimer(now);
}

void GatewayInstance::dispatch(const Message& message, TimePoint now) {
  const config::JsonFields& fields = message.fields;
  switch (message.kind) {
    case MessageKind::requestArrived:
      return handleRequest(parseRequestArrival(fields), now);
    case MessageKind::clientDisconnected:
      return handleClientDisconnect(parseRequestIdField(fields), now);
    case MessageKind::attemptEnded:
      return handleAttemptEnd(fields, now);
    case MessageKind::timerFired:
      return handleTimer(now);
    case MessageKind::counterCallEnded:
      if (const auto end = parseCounterCallEnd(fields)) handleCounterCallEnd(*end, now);
      return;
    case MessageKind::endpointsUpdated:
      if (const auto endpoints = parseEndpointList(fields)) core_.endpointsUpdated(now, *endpoints);
      return;
    case MessageKind::ignored:
      return;
    default:
      throw config::ConfigError("unknown message '" + std::string(message.name) + "'");
  }
}

void GatewayInstance::handleRequest(const RequestArrival& arrival, TimePoint now) {
  const RequestId requestId = core_.requestArrived(now, SlotRef::unpacked(arrival.id.value), arrival.request);
  if (core_.contains(requestId)) requestIds_.emplace(arrival.id, requestId);
}

void GatewayInstance::handleClientDisconnect(WireRequestId id, TimePoint now) {
  const auto request = requestIds_.find(id);
  if (request == requestIds_.end()) return;
  core_.clientDisconnected(now, request->second);
  eraseIfEnded(request);
}

void GatewayInstance::handleAttemptEnd(const config::JsonFields& fields, TimePoint now) {
  const auto request = requestIds_.find(parseRequestIdField(fields));
  // The request has already ended: ignore the message without reading its other fields, which may be invalid.
  if (request == requestIds_.end()) return;
  const AttemptEnd end = parseAttemptEnd(fields, loadFieldNames_);
  core::UpstreamResponse response;
  response.trueUnits = end.trueUnits;
  response.load = end.load;
  response.duration = end.duration;
  response.forwardedByAdapter = end.responseForwarded;
  core_.attemptEnded(now, request->second, end.attempt, end.outcome, response);
  eraseIfEnded(request);
}

void GatewayInstance::handleTimer(TimePoint now) {
  timerDueAt_ = TimePoint::max();
  deadlines_.run(now);
}

void GatewayInstance::handleCounterCallEnd(const CounterCallEnd& end, TimePoint now) {
  core_.counterCallEnded(now, end.key, end.outcome, end.total, end.duration);
}

void GatewayInstance::eraseIfEnded(RequestIds::iterator request) {
  if (!core_.contains(request->second)) requestIds_.erase(request);
}

void GatewayInstance::updateTimer(TimePoint now) {
  const TimePoint next = deadlines_.nextDueAt();
  if (next >= timerDueAt_) return;
  timerDueAt_ = next;
  writer_.setTimer(std::max(next, now));
}

// The simulator forwards a host's response to the client itself.
void GatewayInstance::sendResponse(SlotRef, std::string_view, std::string_view) {}

void GatewayInstance::sendRejection(SlotRef client, Duration retryAfter) {
  writer_.reject(wireIdOf(client), retryAfter);
}

void GatewayInstance::sendFailure(SlotRef client) {
  writer_.fail(wireIdOf(client));
}

std::variant<SlotRef, Outcome> GatewayInstance::startAttempt(RequestId, AttemptNumber, SlotRef client,
                                                             HostId host, AttemptDeadline deadline) {
  writer_.startAttempt(wireIdOf(client), core_.nameOf(host), deadline.abandonAt);
  return SlotRef{};
}

bool GatewayInstance::closeAttempt(SlotRef client, AttemptNumber attempt, SlotRef) {
  writer_.cancelAttempt(wireIdOf(client), attempt);
  return false;
}

void GatewayInstance::addToCounter(const CounterKey& key, double units, Duration keepFor) {
  writer_.addToCounter(key, units, keepFor);
}

void GatewayInstance::report(EngineEvent event) {
  writer_.log(infoOf(core::logEventOf(event)).message);
}

void GatewayInstance::endpointTableFull(std::string_view hostName) {
  writer_.log(fmt::format("{} host={}", infoOf(LogEvent::endpointTableFull).message, hostName));
}

}  // namespace merlinbridge::simulator_adapter
