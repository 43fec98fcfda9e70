#include "net/forwarded_request.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace merlinbridge;
using namespace std::chrono_literals;

namespace {

// The request that is forwarded to host "h:1" for a client's message.
std::string forwarded(std::string message, Duration timeLeft = 250ms) {
  http::Message request(http::Message::Kind::request);
  REQUIRE(request.advance(message.data(), message.size()) == http::Message::Stage::done);
  std::string written = "left over from the previous request";
  net::writeForwardedRequest(request, "h:1", timeLeft, written);
  return written;
}

}  // namespace

TEST_CASE("a request is forwarded with its method, target, end-to-end fields and body") {
  CHECK(forwarded("POST /a?b=c HTTP/1.1\r\nHost: x\r\nReq-Id: 7\r\nContent-Length: 5\r\n\r\nhello") ==
        "POST /a?b=c HTTP/1.1\r\nHost: h:1\r\nReq-Deadline-Ms: 250\r\nReq-Id: 7\r\nContent-Length: 5\r\n\r\n"
        "hello");
}

TEST_CASE("hop-by-hop fields and those that the gateway sets itself are not forwarded") {
  CHECK(forwarded("GET / HTTP/1.1\r\nHOST: x\r\nConnection: x-mine, Keep-Alive\r\nKeep-Alive: 5\r\n"
                  "X-Mine: 1\r\nTE: trailers\r\nTrailer: a\r\nUpgrade: h2c\r\nProxy-Connection: close\r\n"
                  "req-deadline-ms: 900\r\nX-Kept: 2\r\n\r\n") ==
        "GET / HTTP/1.1\r\nHost: h:1\r\nReq-Deadline-Ms: 250\r\nX-Kept: 2\r\n\r\n");
}

TEST_CASE("a chunked body is forwarded with Content-Length") {
  CHECK(forwarded("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n") ==
        "POST / HTTP/1.1\r\nHost: h:1\r\nReq-Deadline-Ms: 250\r\nContent-Length: 3\r\n\r\nabc");
}

TEST_CASE("an empty body is forwarded with Content-Length except for GET") {
  CHECK(forwarded("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n") ==
        "POST / HTTP/1.1\r\nHost: h:1\r\nReq-Deadline-Ms: 250\r\nContent-Length: 0\r\n\r\n");
  CHECK(forwarded("GET / HTTP/1.1\r\nHost: x\r\n\r\n") ==
        "GET / HTTP/1.1\r\nHost: h:1\r\nReq-Deadline-Ms: 250\r\n\r\n");
}

TEST_CASE("the time left is forwarded in whole milliseconds, rounded up") {
  CHECK(forwarded("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1500us) ==
        "GET / HTTP/1.1\r\nHost: h:1\r\nReq-Deadline-Ms: 2\r\n\r\n");
}
