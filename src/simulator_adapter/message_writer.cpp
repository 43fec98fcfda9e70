#include "simulator_adapter/message_writer.hpp"

#include <iterator>
#include <string>

#include "simulator_adapter/wire_names.hpp"
#include "util/json_escape.hpp"

namespace merlinbridge::simulator_adapter {
namespace {

/// All times and durations on the wire are whole microseconds.
std::int64_t microseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}
std::int64_t microseconds(TimePoint time) {
  return microseconds(time.time_since_epoch());
}

std::string quoted(std::string_view text) {
  return '"' + util::escapeJson(text) + '"';
}

}  // namespace

template <class... Args>
void MessageWriter::write(std::string_view format, const Args&... args) {
  fmt::vformat_to(std::back_inserter(reply_), format, fmt::make_format_args(gatewayNumber_, args...));
  reply_.push_back('\n');
}

void MessageWriter::reject(WireRequestId request, Duration retryAfter) {
  write(R"({{"sayNo":{{"i":{},"id":"{:016x}","holdOff":{}}}}})", request.value, microseconds(retryAfter));
}

void MessageWriter::fail(WireRequestId request) {
  write(R"({{"giveUp":{{"i":{},"id":"{:016x}"}}}})", request.value);
}

void MessageWriter::startAttempt(WireRequestId request, std::string_view host, TimePoint abandonAt) {
  write(R"({{"forward":{{"i":{},"id":"{:016x}","host":{},"abandonAt":{}}}}})", request.value, quoted(host),
        microseconds(abandonAt));
}

void MessageWriter::cancelAttempt(WireRequestId request, AttemptNumber attempt) {
  write(R"({{"abandon":{{"i":{},"id":"{:016x}","sendNo":{}}}}})", request.value, attempt.value);
}

void MessageWriter::addToCounter(const CounterKey& key, double units, Duration keepFor) {
  write(R"({{"postAmount":{{"i":{},"n":{},"forgetAfter":{},"counter":"{}"}}}})", units, microseconds(keepFor),
        counterName(key));
}

void MessageWriter::setTimer(TimePoint time) {
  write(R"({{"notifyMe":{{"i":{},"fireAt":{},"mark":"due"}}}})", microseconds(time));
}

void MessageWriter::log(std::string_view text) {
  write(R"({{"writeLog":{{"i":{},"bodyText":{}}}}})", quoted(text));
}

void MessageWriter::fault(std::string_view text) {
  write(R"({{"fault":{{"i":{},"bodyText":{}}}}})", quoted(text));
}

void MessageWriter::endReply(ReplyBuffer& reply) {
  fmt::format_to(std::back_inserter(reply), "{{\"ready\":{{}}}}\n");
}

}  // namespace merlinbridge::simulator_adapter
