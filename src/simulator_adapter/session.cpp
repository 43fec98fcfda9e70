#include "simulator_adapter/session.hpp"

#include <ostream>
#include <string>

#include "simulator_adapter/message_reader.hpp"

namespace merlinbridge::simulator_adapter {

using config::ConfigError;

void Session::handle(const Message& message) {
  if (message.kind == MessageKind::batchStarted) return beginBatch(message.fields);
  if (!inBatch_) throw ConfigError(std::string(message.name) + ": received outside a batch");
  if (message.kind == MessageKind::batchEnded) return endBatch();
  handleForGateway(message);
}

void Session::end() const {
  if (inBatch_) throw ConfigError("eofBatch: missing, input ended inside a batch");
}

void Session::beginBatch(const config::JsonFields& fields) {
  if (inBatch_) throw ConfigError("turn: received inside a batch");
  now_ = parseBatchTime(fields);
  inBatch_ = true;
}

void Session::endBatch() {
  MessageWriter::endReply(reply_);
  out_.write(reply_.data(), static_cast<std::streamsize>(reply_.size())).flush();
  reply_.clear();
  inBatch_ = false;
}

void Session::startGateway(std::int64_t number, const config::JsonFields& fields) {
  gateways_.erase(number);
  gateways_.try_emplace(number, number, parseGatewayStart(fields), now_, reply_);
}

void Session::handleForGateway(const Message& message) {
  const std::int64_t number = parseGatewayNumber(message.fields);
  if (message.kind == MessageKind::gatewayStarted) return startGateway(number, message.fields);
  const auto gateway = gateways_.find(number);
  if (message.kind == MessageKind::gatewayStopped) {
    if (gateway != gateways_.end()) gateways_.erase(gateway);
    return;
  }
  if (gateway == gateways_.end())
    throw ConfigError(std::string(message.name) + ": field 'i' names instance " + std::to_string(number) +
                      ", which is not running");
  try {
    gateway->second.handle(message, now_);
  } catch (const ConfigError&) {
    throw;
  } catch (const std::exception& e) {
    gateway->second.reportFault(e.what());
  }
}

}  // namespace merlinbridge::simulator_adapter
