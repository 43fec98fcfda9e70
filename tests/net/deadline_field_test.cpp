#include "net/upstream/deadline_field.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using namespace std::chrono_literals;

TEST_CASE("the remaining time is rounded up to whole milliseconds and is at least 1 ms") {
  CHECK(net::millisecondsLeft(900ms) == 900);
  CHECK(net::millisecondsLeft(900ms + 1ns) == 901);
  CHECK(net::millisecondsLeft(1ns) == 1);
  CHECK(net::millisecondsLeft(0ms) == 1);
  CHECK(net::millisecondsLeft(-5ms) == 1);
}

TEST_CASE("an update of the deadline field changes nothing but its value, whatever the value's length") {
  const std::string before = "GET /a HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: ";
  const std::string after = "\r\nReq-Id: 1\r\n\r\nbody 900";
  const Duration left = GENERATE(7ms, 85ms, 900ms, 12'345ms);
  CHECK(net::withDeadline(before + "900" + after, left) ==
        before + std::to_string(net::millisecondsLeft(left)) + after);
}
