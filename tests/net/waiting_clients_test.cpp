#include "net/client/waiting_clients.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using namespace std::chrono_literals;
using net::WaitingClients;

namespace {

constexpr TimePoint kStart{100s};

}  // namespace

TEST_CASE(
    "waiting clients are overdue a quarter of the stated deadline after the last arrival that is known") {
  WaitingClients waiting(2s);
  waiting.noneWaits(kStart);
  CHECK(waiting.overdueAt() == kStart + 500ms);
  waiting.accepted(kStart + 100ms);
  CHECK(waiting.overdueAt() == kStart + 600ms);
  waiting.accepted(kStart + 50ms);  // no client that waits arrived before the one accepted earlier
  CHECK(waiting.overdueAt() == kStart + 600ms);
}

TEST_CASE("waiting clients' time follows shorter deadlines at once and longer ones slowly") {
  WaitingClients waiting(3200ms);
  waiting.noneWaits(kStart);
  CHECK(waiting.stallTime() == 200ms);
  waiting.deadlineStated(400ms);
  CHECK(waiting.overdueAt() == kStart + 100ms);
  CHECK(waiting.stallTime() == 25ms);
  waiting.deadlineStated(3200ms);
  CHECK(waiting.overdueAt() > kStart + 100ms);
  CHECK(waiting.overdueAt() < kStart + 150ms);
  for (int count = 0; count < 1000; ++count) waiting.deadlineStated(3200ms);
  CHECK(waiting.overdueAt() > kStart + 750ms);
}

TEST_CASE("waiting clients' time is neither cut to nothing nor stretched by untrue deadlines") {
  WaitingClients waiting(3200ms);
  waiting.noneWaits(kStart);
  waiting.deadlineStated(1ms);
  CHECK(waiting.overdueAt() == kStart + 50ms);
  for (int count = 0; count < 1000; ++count) waiting.deadlineStated(1h);
  CHECK(waiting.overdueAt() <= kStart + 800ms);
}
