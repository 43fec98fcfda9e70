/// \file
/// Requests that break the client protocol: each is answered with an error and reaches no host.
#include <catch2/catch.hpp>

#include "overloaded_gateway.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

struct UnsoundRequest {
  std::string what;
  std::string message;
};

std::string soundRequest(const std::string& method) {
  const std::string request = clientRequest(method, method == "look" ? "" : "body");
  return method == "save"
             ? replaceOnce(request, "Host: x\r\n", "Host: x\r\nIdempotency-Key: 5c0f6e1a2b3d4c59\r\n")
             : request;
}

// A sound request of `method` with one part replaced.
UnsoundRequest changed(const std::string& what, const std::string& method, const std::string& search,
                       const std::string& replacement) {
  return {what, replaceOnce(soundRequest(method), search, replacement)};
}

std::vector<UnsoundRequest> unsoundRequests() {
  return {
      changed("no Host", "look", "Host: x\r\n", ""),
      changed("two Hosts", "look", "Host: x\r\n", "Host: x\r\nHost: y\r\n"),
      changed("empty Host", "look", "Host: x\r\n", "Host: \r\n"),
      changed("HTTP/1.0", "look", "HTTP/1.1", "HTTP/1.0"),
      changed("Req-Kind twice", "look", "Req-Kind: look\r\n", "Req-Kind: pay\r\nReq-Kind: look\r\n"),
      changed("Account twice", "look", "Account: ", "Account: 0000000000000008\r\nAccount: "),
      changed("Plan twice", "look", "Plan: ", "Plan: metered\r\nPlan: "),
      changed("Req-Deadline-Ms twice", "look",
              "Req-Deadline-Ms: ", "Req-Deadline-Ms: 1\r\nReq-Deadline-Ms: "),
      changed("Quota-Info twice", "look",
              "Quota-Info: ", "Quota-Info: units=2,spread=1,first=0\r\nQuota-Info: "),
      changed("units twice in Quota-Info", "look", "units=1,", "units=1,units=2,"),
      changed("units above the stated largest", "look", "units=1,", "units=8.5,"),
      changed("units without a value", "look", "units=1,", "units,"),
      changed("units behind a colon", "look", "units=1,", "units:9,"),
      changed("spread without a value", "look", "spread=1", "spread"),
      changed("first gateway without a value", "look", "first=0", "first"),
      changed("Req-Id twice", "look", "Req-Kind: ", "Req-Id: 00000000000000aa\r\nReq-Kind: "),
      {"Req-Id that is no number", withRequestId(soundRequest("look"), "not-a-number-at-")},
      changed("path of another class", "look", "GET /look/", "GET /save/"),
      changed("path that only begins like the class", "look", "GET /look/", "GET /looks/"),
      changed("path without a class", "look", "GET /look/a", "GET /"),
      changed("class encoded in the path", "look", "GET /look/", "GET /%6cook/"),
      changed("path that leaves the class", "look", "GET /look/", "GET /look/../save/"),
      changed("path that leaves the class, encoded", "look", "GET /look/", "GET /look/%2e%2e/save/"),
      changed("asterisk form", "look", "GET /look/a?b=c", "GET *"),
      changed("absolute form", "look", "GET /look/", "GET http://x/look/"),
      changed("POST of a safe class", "look", "GET ", "POST "),
      changed("DELETE of a safe class", "look", "GET ", "DELETE "),
      changed("method in lower case", "look", "GET ", "get "),
      changed("GET of a class with a key", "save", "POST ", "GET "),
      changed("PUT of an unsafe class", "pay", "POST ", "PUT "),
      changed("body on GET", "look", "\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody"),
      {"chunked body on GET", replaceOnce(clientRequest("look"), "\r\n\r\n",
                                          "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")},
      changed("account of 2^33", "look", "Account: 0000000000000007", "Account: 0000000200000000"),
      changed("account of 2^33 and more", "look", "Account: 0000000000000007", "Account: ffffffffffffffff"),
      changed("account that is too short", "look", "Account: 0000000000000007", "Account: 7"),
      changed("two keys", "save", "Idempotency-Key: ", "Idempotency-Key: 1\r\nIdempotency-Key: "),
      changed("keyed class without a key", "save", "Idempotency-Key: 5c0f6e1a2b3d4c59\r\n", ""),
      changed("empty key", "save", "5c0f6e1a2b3d4c59", ""),
      changed("unsafe class with a key", "pay", "Host: x\r\n", "Host: x\r\nIdempotency-Key: 1\r\n"),
      changed("Connection that names a field of the protocol", "save", "Host: x\r\n",
              "Host: x\r\nConnection: Idempotency-Key\r\n"),
  };
}

std::string statusOfRequest(const OverloadedGateway& gateway, const std::string& message) {
  TestPeer client = gateway.program.client();
  client.send(message);
  within([&] { return client.hasReceived(kHeadEnd) || client.remoteClosed; }, 3s);
  return client.receivedBytes.substr(0, 12);
}

}  // namespace

TEST_CASE("A request that is not sound is answered with an error and never forwarded") {
  OverloadedGateway gateway;
  for (const std::string method : {"look", "save", "pay"})
    CHECK(statusOfRequest(gateway, soundRequest(method)) == "HTTP/1.1 200");
  const std::size_t soundOnes = gateway.hosts.received().size();
  for (const auto& [what, message] : unsoundRequests()) {
    INFO(what);
    CHECK_THAT(statusOfRequest(gateway, message), Catch::StartsWith("HTTP/1.1 4"));
  }
  CHECK(gateway.hosts.received().size() == soundOnes);
}

// Guards against a refused request that takes units from the quota of the customer that it names, or its id.
TEST_CASE("A request refused for its Quota-Info leaves no charge and no id behind") {
  constexpr int kRefusedRequests = 40;  // of 8.5 units each, for a bucket of a few
  OverloadedGateway gateway;
  const std::string sound = meteredRequest(3);
  const std::string unsound = replaceOnce(sound, "units=1,", "units=8.5,");
  for (int count = 0; count < kRefusedRequests; ++count)
    CHECK_THAT(statusOfRequest(gateway, unsound), Catch::StartsWith("HTTP/1.1 400"));
  CHECK(statusOfRequest(gateway, sound) == "HTTP/1.1 200");
}
