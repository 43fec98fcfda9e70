#include "net/shortage_backoff.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using namespace std::chrono_literals;

TEST_CASE("the pause doubles with each consecutive shortage, up to sixteen times the first") {
  net::ShortageBackoff backoff;
  for (const Duration expected : {5ms, 10ms, 20ms, 40ms, 80ms, 80ms, 80ms})
    CHECK(backoff.nextPause(5ms) == expected);
}

TEST_CASE("a success resets the pause to the first one") {
  net::ShortageBackoff backoff;
  backoff.nextPause(5ms);
  backoff.nextPause(5ms);
  backoff.reset();
  CHECK(backoff.nextPause(5ms) == 5ms);
  CHECK(backoff.nextPause(5ms) == 10ms);
}
