#include "net/wait_timer.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{1'700'000'000s};

// A wait timer with its own deadline queue.
struct WaitTimerFixture {
  core::DeadlineQueue deadlines;
  net::WaitTimer timer{deadlines};
  int fired = 0;

  void set(TimePoint firesAt) {
    timer.set(firesAt, [this](TimePoint) {
      timer.fired();
      ++fired;
    });
  }
};

}  // namespace

TEST_CASE("an unset wait timer never fires: only TimePoint::max() counts as covered") {
  WaitTimerFixture fixture;
  CHECK_FALSE(fixture.timer.firesBy(kStart));
  CHECK(fixture.timer.firesBy(TimePoint::max()));
}

TEST_CASE("a wait timer covers every deadline at or after its own time") {
  WaitTimerFixture fixture;
  fixture.set(kStart + 10ms);
  CHECK_FALSE(fixture.timer.firesBy(kStart + 9ms));
  CHECK(fixture.timer.firesBy(kStart + 10ms));
  CHECK(fixture.timer.firesBy(kStart + 11ms));
}

TEST_CASE("setting a wait timer replaces the pending one") {
  WaitTimerFixture fixture;
  fixture.set(kStart + 10ms);
  fixture.set(kStart + 5ms);
  CHECK(fixture.deadlines.nextDueAt() == kStart + 5ms);
  fixture.deadlines.run(kStart + 20ms);
  CHECK(fixture.fired == 1);
  CHECK_FALSE(fixture.timer.firesBy(kStart + 20ms));
}

TEST_CASE("a cancelled wait timer does not fire") {
  WaitTimerFixture fixture;
  fixture.timer.cancel();
  fixture.set(kStart + 10ms);
  fixture.timer.cancel();
  fixture.timer.cancel();
  fixture.deadlines.run(kStart + 20ms);
  CHECK(fixture.fired == 0);
}
