#include "gateway_core/client_request_ids.hpp"

#include <catch2/catch.hpp>
#include <string>

using namespace merlinbridge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{1000s};
constexpr Duration kClosedFor = 2s;

}  // namespace

TEST_CASE("client request ids: an open id is known until it is forgotten, a closed one for its time") {
  core::ClientRequestIds ids(kClosedFor);
  ids.open("a");
  ids.open("b");
  CHECK(ids.contains(kNow + 100s, "a"));
  CHECK_FALSE(ids.contains(kNow + 100s, "c"));
  ids.forget("a");
  ids.close(kNow + 100s, "b");
  CHECK_FALSE(ids.contains(kNow + 100s, "a"));
  CHECK(ids.contains(kNow + 101s, "b"));
  ids.forget("b");  // closed, so it stays
  CHECK(ids.contains(kNow + 101s, "b"));
  CHECK_FALSE(ids.contains(kNow + 102s, "b"));
}

TEST_CASE("client request ids: a request without an id is never a copy") {
  core::ClientRequestIds ids(kClosedFor);
  ids.open("");
  CHECK_FALSE(ids.contains(kNow, ""));
  ids.close(kNow, "");
  ids.forget("");
  CHECK_FALSE(ids.contains(kNow, ""));
}

TEST_CASE("client request ids: closed ids are limited in number, open ids stay") {
  core::ClientRequestIds ids(kClosedFor);
  ids.open("open");
  for (int number = 0; number < 20000; ++number) {
    ids.open(std::to_string(number));
    ids.close(kNow, std::to_string(number));
  }
  CHECK(ids.contains(kNow, "open"));
  CHECK(ids.contains(kNow, "19999"));
  CHECK_FALSE(ids.contains(kNow, "0"));
}
