#include "net/readiness_watchdog.hpp"

#include <poll.h>

#include <catch2/catch.hpp>

using namespace merlinbridge;

TEST_CASE("a wait that stays open after its descriptor was marked ready is reported as missed once") {
  net::ReadinessWatchdog watchdog;
  watchdog.waitStarted(POLLIN);
  CHECK_FALSE(watchdog.takeMissedWait());
  watchdog.markReady();
  CHECK(watchdog.takeMissedWait());
  CHECK_FALSE(watchdog.takeMissedWait());
}

TEST_CASE("a completion after the mark clears it, since the connection still receives events") {
  net::ReadinessWatchdog watchdog;
  watchdog.waitStarted(POLLIN);
  watchdog.waitStarted(POLLOUT);
  watchdog.markReady();
  const short ended = GENERATE(short{0}, short{POLLOUT});
  watchdog.completionRan(ended);
  CHECK_FALSE(watchdog.takeMissedWait());
}

TEST_CASE("without an open wait, no readiness is missed") {
  net::ReadinessWatchdog watchdog;
  watchdog.waitStarted(POLLIN);
  watchdog.completionRan(POLLIN);
  watchdog.markReady();
  CHECK_FALSE(watchdog.takeMissedWait());
}

TEST_CASE("reading and writing are awaited and ended independently") {
  net::ReadinessWatchdog watchdog;
  CHECK(watchdog.awaitedEvents() == 0);
  watchdog.waitStarted(POLLIN);
  watchdog.waitStarted(POLLOUT);
  CHECK(watchdog.awaitedEvents() == (POLLIN | POLLOUT));
  watchdog.completionRan(POLLIN);
  CHECK(watchdog.awaitedEvents() == POLLOUT);
  watchdog.completionRan(POLLOUT);
  CHECK(watchdog.awaitedEvents() == 0);
}
