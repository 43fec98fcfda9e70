#include "net/client/client_deadlines.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using namespace std::chrono_literals;
using net::ClientDeadlines;
using net::ClientTimeouts;

namespace {

constexpr ClientTimeouts kTimeouts{30s, 10s};
constexpr TimePoint kAcceptedAt{100s};

}  // namespace

TEST_CASE("the idle timeout is measured from the start of the current wait") {
  ClientDeadlines deadlines(kAcceptedAt, kTimeouts);
  CHECK(deadlines.waitStartedAt() == kAcceptedAt);
  CHECK(deadlines.idleDeadline() == kAcceptedAt + 30s);
  deadlines.startWait(kAcceptedAt + 5s);
  CHECK(deadlines.waitStartedAt() == kAcceptedAt + 5s);
  CHECK(deadlines.idleDeadline() == kAcceptedAt + 35s);
  CHECK(deadlines.writeDeadline() == kAcceptedAt + 15s);
  CHECK(deadlines.maxDeadline() == 10s);
}

TEST_CASE("the first request must be complete 2.8 s after the accept, but gets at least half of that") {
  ClientDeadlines deadlines(kAcceptedAt, kTimeouts);
  deadlines.startWait(kAcceptedAt + 1s);
  CHECK(deadlines.requestDeadline() == kAcceptedAt + 2800ms);
  deadlines.startWait(kAcceptedAt + 2s);
  CHECK(deadlines.requestDeadline() == kAcceptedAt + 3400ms);
}

TEST_CASE("a later request must be complete 2.8 s after its first byte") {
  ClientDeadlines deadlines(kAcceptedAt, kTimeouts);
  deadlines.firstRequestAnswered();
  deadlines.startWait(kAcceptedAt + 1s);
  CHECK(deadlines.requestDeadline() == kAcceptedAt + 3800ms);
}

TEST_CASE("no request may take longer to arrive than the longest deadline") {
  ClientDeadlines deadlines(kAcceptedAt, {30s, 500ms});
  CHECK(deadlines.requestDeadline() == kAcceptedAt + 500ms);
  CHECK(deadlines.evictableAt() == kAcceptedAt + 250ms);
  deadlines.firstRequestAnswered();
  CHECK(deadlines.requestDeadline() == kAcceptedAt + 500ms);
}

TEST_CASE("an incomplete request may be evicted after half of its time") {
  ClientDeadlines deadlines(kAcceptedAt, kTimeouts);
  deadlines.startWait(kAcceptedAt + 1s);
  CHECK(deadlines.evictableAt() == kAcceptedAt + 2400ms);
}
