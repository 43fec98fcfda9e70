/// \file
/// Clients that send too much, too slowly, or leave: the limits of the process hold and other clients are
/// served.
#include <catch2/catch.hpp>
#include <map>

#include "overloaded_gateway.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kUsualClients = 8;
constexpr Duration kFloodTime = 3s;

std::string repeated(const std::string& text, std::size_t times) {
  std::string all;
  for (std::size_t count = 0; count < times; ++count) all += text;
  return all;
}

std::string distinctRequests(std::size_t count, const std::function<std::string()>& make) {
  std::string all;
  for (std::size_t number = 0; number < count; ++number) all += make();
  return all;
}

// Usual clients lose no request, and at least half of their requests are served.
void checkUsualClients(UsualClients& clients) {
  const UsualAnswers answers = clients.finish();
  INFO("served " << answers.served << ", refused " << answers.refused << ", failed " << answers.failed
                 << ", late " << answers.late << ", lost " << answers.lost);
  CHECK(answers.lost == 0);
  CHECK(answers.late == 0);
  CHECK(answers.served * 2 >= answers.count());
  CHECK(answers.served > 0);
}

// One block of each kind of small request that the gateway answers without waiting for a host.
std::string floodOf(int kind) {
  switch (kind) {
    case 0:
      return repeated("GET /look/a HTTP/1.1\r\nHost: x\r\n\r\n", 2000);  // no id, no deadline
    case 1:
      return repeated(kReadyProbe, 2000);
    case 2:
      return repeated(replaceOnce(clientRequest("look"), "Req-Kind: look", "Req-Kind: none"), 500);
    case 3:
      return repeated("no request line\r\n\r\n", 2000);
    default:
      return distinctRequests(500, [] { return meteredRequest(3); });  // over quota
  }
}

}  // namespace

TEST_CASE("Memory stays within its limit while a client pipelines valid requests without a pause") {
  OverloadedGateway gateway;
  FloodingClients flood(gateway.program.listenPort, 1, Answers::read,
                        [] { return distinctRequests(500, [] { return clientRequest("look"); }); });
  std::this_thread::sleep_for(kFloodTime);
  CHECK(gateway.keptMemoryLimit());
}

TEST_CASE("Usual clients get their answers in time while others send at full speed") {
  const int kind = GENERATE(0, 1, 2, 3, 4);
  INFO("kind of flood: " << kind);
  OverloadedGateway gateway;
  UsualClients usual(gateway.program.listenPort, kUsualClients);
  FloodingClients flood(gateway.program.listenPort, 6, Answers::read, [kind] { return floodOf(kind); });
  std::this_thread::sleep_for(kFloodTime);
  flood.stop();
  checkUsualClients(usual);
  CHECK(gateway.keptMemoryLimit());
  CHECK(gateway.program.log().find("event_loop_stalled") == std::string::npos);
}
