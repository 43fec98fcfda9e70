#include "gateway_core/client_request_ids.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using namespace std::chrono_literals;
using core::ClientRequestId;
using core::Repeat;

namespace {

constexpr TimePoint kNow{1000s};
constexpr Duration kClosedFor = 2s;
constexpr std::size_t kMaxClosed = 100;

}  // namespace

TEST_CASE("client request ids: an open id is known until it is forgotten, a closed one for its time") {
  const Repeat repeat = GENERATE(Repeat::harmless, Repeat::harmful);
  core::ClientRequestIds ids(kClosedFor, kMaxClosed);
  const ClientRequestId a{1};
  const ClientRequestId b{2};
  ids.open(a);
  ids.open(b);
  CHECK(ids.contains(kNow + 100s, a));
  CHECK_FALSE(ids.contains(kNow + 100s, {3}));
  ids.forget(a);
  ids.close(kNow + 100s, b, repeat);
  CHECK_FALSE(ids.contains(kNow + 100s, a));
  CHECK(ids.contains(kNow + 101s, b));
  ids.forget(b);  // closed, so it stays
  CHECK(ids.contains(kNow + 101s, b));
  CHECK_FALSE(ids.contains(kNow + 102s, b));
}

TEST_CASE("client request ids: closed ids are limited in number, open ids stay") {
  core::ClientRequestIds ids(kClosedFor, kMaxClosed);
  ids.open({1'000'000});
  for (std::uint64_t number = 0; number < 20'000; ++number) {
    ids.open({number});
    ids.close(kNow, {number}, Repeat::harmless);
  }
  CHECK(ids.contains(kNow, {1'000'000}));
  CHECK(ids.contains(kNow, {19'999}));
  CHECK_FALSE(ids.contains(kNow, {0}));
  CHECK_FALSE(ids.isFull(kNow));
}

TEST_CASE("client request ids: a flood of harmless ids forgets none whose repeat is harmful") {
  core::ClientRequestIds ids(kClosedFor, kMaxClosed);
  ids.open({1'000'000});
  ids.close(kNow, {1'000'000}, Repeat::harmful);
  for (std::uint64_t number = 0; number < 20'000; ++number) {
    ids.open({number});
    ids.close(kNow, {number}, Repeat::harmless);
  }
  CHECK(ids.contains(kNow + 1s, {1'000'000}));
}

TEST_CASE("client request ids: the table is full of harmful ids until their time is over") {
  core::ClientRequestIds ids(kClosedFor, kMaxClosed);
  for (std::uint64_t number = 0; number < kMaxClosed; ++number) {
    CHECK_FALSE(ids.isFull(kNow));
    ids.open({number});
    ids.close(kNow, {number}, Repeat::harmful);
  }
  CHECK(ids.isFull(kNow + 1s));
  CHECK(ids.contains(kNow + 1s, {0}));
  CHECK_FALSE(ids.isFull(kNow + 2s));
}
