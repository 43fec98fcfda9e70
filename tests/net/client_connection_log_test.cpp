#include "net/client/client_connection_log.hpp"

#include <catch2/catch.hpp>
#include <cerrno>
#include <sstream>
#include <string>

using namespace merlinbridge;
using net::ClientConnectionEnd;
using net::WriteProgress;

namespace {

constexpr auto kPeerOrFault = ClientConnectionEnd::Cause::peerOrFault;
constexpr auto kTimeout = ClientConnectionEnd::Cause::timeout;

// The log line for the end of an unanswered request; empty if it is below `minLevel`.
std::string unansweredLine(const ClientConnectionEnd& end, LogLevel minLevel = LogLevel::debug) {
  std::ostringstream out;
  Log log(out, minLevel);
  net::logUnansweredRequest(log, "7", end);
  return out.str();
}

std::string incompleteLine(const ClientConnectionEnd& end) {
  std::ostringstream out;
  Log log(out, LogLevel::debug);
  net::logIncompleteResponse(log, "7", end);
  return out.str();
}

std::string answeredLine(WriteProgress progress) {
  std::ostringstream out;
  Log log(out, LogLevel::debug);
  net::logRequestAnswered(log, "7", 200, progress);
  return out.str();
}

bool contains(const std::string& line, const std::string& part) {
  return line.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a client that disconnects before its request is answered is logged with how the gateway noticed") {
  const std::string ended = unansweredLine({kPeerOrFault, true, 0});
  CHECK(contains(ended, "client_disconnected"));
  CHECK(contains(ended, "request=7 seen_as=end_of_stream"));
  CHECK(contains(unansweredLine({kPeerOrFault, false, ECONNRESET}), "request=7 seen_as=reset"));
  CHECK(contains(unansweredLine({kPeerOrFault, false, 0}), "request=7 seen_as=end_behind_pipelined_data"));
}

TEST_CASE("a client that disconnects before its request is answered is logged at debug level only") {
  CHECK(unansweredLine({kPeerOrFault, true, 0}, LogLevel::info).empty());
}

TEST_CASE("a request whose connection breaks or times out is logged as dropped") {
  const std::string broken = unansweredLine({kPeerOrFault, false, EPIPE}, LogLevel::warning);
  CHECK(contains(broken, "request_dropped"));
  CHECK(contains(broken, "Broken pipe"));
  const std::string timedOut = unansweredLine({kTimeout, true, 0}, LogLevel::warning);
  CHECK(contains(timedOut, "request_dropped"));
  CHECK(contains(timedOut, "timed out"));
}

TEST_CASE("an incomplete response is logged with its cause") {
  CHECK(contains(incompleteLine({kPeerOrFault, true, 0}), "response_incomplete"));
  CHECK(contains(incompleteLine({kPeerOrFault, true, 0}), "client disconnected"));
  CHECK(contains(incompleteLine({kPeerOrFault, false, EPIPE}), "Broken pipe"));
  CHECK(contains(incompleteLine({kTimeout, false, EPIPE}), "timed out"));
}

TEST_CASE("an answered request is logged with how much of the response has been written") {
  CHECK(contains(answeredLine(WriteProgress::complete), "request=7 status=200 written=complete"));
  CHECK(contains(answeredLine(WriteProgress::partial), "written=partly"));
  CHECK(contains(answeredLine(WriteProgress::connectionClosed), "written=connection_closed"));
}
