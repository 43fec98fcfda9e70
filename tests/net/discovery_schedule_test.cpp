#include "net/discovery/discovery_schedule.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace merlinbridge;
using namespace std::chrono_literals;
using net::DiscoveryOutcome;
using net::DiscoveryRequest;
using net::DiscoverySchedule;

namespace {

constexpr Duration kConnectTimeout = 250ms;
constexpr Duration kDrainGrace = 500ms;

DiscoverySchedule makeSchedule(std::uint64_t seed = 1, Duration drainGrace = kDrainGrace) {
  return {kConnectTimeout, drainGrace, seed};
}

// Returns true if the pause is in the range of random pauses with this mean.
bool isInJitterRange(Duration pause, Duration mean) {
  return pause >= mean / 2 && pause <= mean * 3 / 2;
}

// Returns the pauses after this many requests that all end with `outcome`.
std::vector<Duration> pausesAfter(DiscoverySchedule& schedule, DiscoveryOutcome outcome, int requests) {
  std::vector<Duration> pauses;
  pauses.reserve(static_cast<std::size_t>(requests));
  for (int request = 0; request < requests; ++request)
    pauses.push_back(schedule.requestEnded(schedule.nextRequest(), outcome, 0ms));
  return pauses;
}

bool areInJitterRange(const std::vector<Duration>& pauses, Duration mean) {
  return std::all_of(pauses.begin(), pauses.end(),
                     [mean](Duration pause) { return isInJitterRange(pause, mean); });
}

// Returns the first `count` requests if each watch is rejected and each poll ends with `pollOutcome`.
std::vector<DiscoveryRequest> requestsWhileWatchesAreRejected(DiscoveryOutcome pollOutcome,
                                                              std::size_t count) {
  DiscoverySchedule schedule = makeSchedule();
  std::vector<DiscoveryRequest> requests;
  while (requests.size() < count) {
    requests.push_back(schedule.nextRequest());
    const bool isWatch = requests.back() == DiscoveryRequest::watch;
    schedule.requestEnded(requests.back(), isWatch ? DiscoveryOutcome::rejected : pollOutcome, 0ms);
  }
  return requests;
}

}  // namespace

TEST_CASE("a watch is requested first, and again after a watch that failed") {
  DiscoverySchedule schedule = makeSchedule();
  CHECK(schedule.nextRequest() == DiscoveryRequest::watch);
  schedule.requestEnded(DiscoveryRequest::watch, DiscoveryOutcome::failed, 0ms);
  CHECK(schedule.nextRequest() == DiscoveryRequest::watch);
}

TEST_CASE("after a rejected watch three polls come before the next watch, however they end") {
  constexpr auto kWatch = DiscoveryRequest::watch;
  constexpr auto kPoll = DiscoveryRequest::poll;
  const std::vector<DiscoveryRequest> expected{kWatch, kPoll, kPoll, kPoll, kWatch,
                                               kPoll,  kPoll, kPoll, kWatch};
  CHECK(requestsWhileWatchesAreRejected(DiscoveryOutcome::updated, expected.size()) == expected);
  CHECK(requestsWhileWatchesAreRejected(DiscoveryOutcome::rejected, expected.size()) == expected);
  CHECK(requestsWhileWatchesAreRejected(DiscoveryOutcome::failed, expected.size()) == expected);
}

TEST_CASE("the mean pause after an updated list is three quarters of a heartbeat interval") {
  DiscoverySchedule schedule = makeSchedule();
  const std::vector<Duration> pauses = pausesAfter(schedule, DiscoveryOutcome::updated, 1000);
  CHECK(areInJitterRange(pauses, 1500ms));
  CHECK(*std::min_element(pauses.begin(), pauses.end()) < 800ms);
  CHECK(*std::max_element(pauses.begin(), pauses.end()) > 2200ms);
}

TEST_CASE("the backoff after rejections doubles from the connect timeout to half a heartbeat interval") {
  DiscoverySchedule schedule = makeSchedule();
  const std::vector<Duration> first = pausesAfter(schedule, DiscoveryOutcome::rejected, 100);
  CHECK(isInJitterRange(first[0], 250ms));
  CHECK(isInJitterRange(first[1], 500ms));
  CHECK(areInJitterRange({first.begin() + 2, first.end()}, 1s));
  schedule.resetBackoff();
  const std::vector<Duration> second = pausesAfter(schedule, DiscoveryOutcome::rejected, 3);
  CHECK(isInJitterRange(second[0], 250ms));
  CHECK(isInJitterRange(second[1], 500ms));
  CHECK(isInJitterRange(second[2], 1s));
}

TEST_CASE("the mean backoff without a response stays at half the drain grace") {
  DiscoverySchedule schedule = makeSchedule();
  CHECK(areInJitterRange(pausesAfter(schedule, DiscoveryOutcome::failed, 20), 250ms));
}

TEST_CASE("without a drain grace the backoff is an eighth of the connect timeout") {
  DiscoverySchedule schedule = makeSchedule(1, 0ms);
  CHECK(areInJitterRange(pausesAfter(schedule, DiscoveryOutcome::failed, 20), kConnectTimeout / 8));
}

TEST_CASE("a new address starts with a watch and the shortest backoff") {
  DiscoverySchedule schedule = makeSchedule();
  pausesAfter(schedule, DiscoveryOutcome::rejected, 5);
  schedule.reset();
  CHECK(schedule.nextRequest() == DiscoveryRequest::watch);
  CHECK(isInJitterRange(schedule.requestEnded(DiscoveryRequest::watch, DiscoveryOutcome::rejected, 0ms),
                        250ms));
}

TEST_CASE("the seed alone determines the pauses between requests to discovery") {
  DiscoverySchedule first = makeSchedule(7);
  DiscoverySchedule second = makeSchedule(7);
  DiscoverySchedule other = makeSchedule(8);
  const std::vector<Duration> pauses = pausesAfter(first, DiscoveryOutcome::updated, 10);
  CHECK(pausesAfter(second, DiscoveryOutcome::updated, 10) == pauses);
  CHECK(pausesAfter(other, DiscoveryOutcome::updated, 10) != pauses);
}

TEST_CASE("the backoff after a slow response is half of that after a failure, and is no failure in a row") {
  DiscoverySchedule schedule = makeSchedule();
  CHECK(areInJitterRange(pausesAfter(schedule, DiscoveryOutcome::slow, 20), 125ms));
  CHECK(schedule.nextRequest() == DiscoveryRequest::watch);
  CHECK(isInJitterRange(schedule.requestEnded(DiscoveryRequest::watch, DiscoveryOutcome::rejected, 0ms),
                        250ms));
}

TEST_CASE("a watch that is rejected late is followed by polls") {
  DiscoverySchedule schedule = makeSchedule();
  schedule.requestEnded(DiscoveryRequest::watch, DiscoveryOutcome::slow, 2250ms);
  schedule.slowRequestEnded(DiscoveryRequest::watch, DiscoveryOutcome::rejected);
  CHECK(schedule.nextRequest() == DiscoveryRequest::poll);
}

TEST_CASE("the pause after a poll counts from its request, and has a least length") {
  DiscoverySchedule schedule = makeSchedule();
  for (int count = 0; count < 100; ++count) {
    const Duration pause = schedule.requestEnded(DiscoveryRequest::poll, DiscoveryOutcome::updated, 1500ms);
    CHECK(pause <= 750ms);
    CHECK(pause >= kConnectTimeout / 16);
  }
}

TEST_CASE("each slow response that gets too old doubles the time for the next one, until a list arrives") {
  DiscoverySchedule schedule = makeSchedule();
  CHECK(schedule.maxSlowResponseAge() == 16s);
  schedule.slowResponseTooOld();
  CHECK(schedule.maxSlowResponseAge() == 32s);
  for (int count = 0; count < 100; ++count) schedule.slowResponseTooOld();
  CHECK(schedule.maxSlowResponseAge() > 1h);
  schedule.resetBackoff();
  CHECK(schedule.maxSlowResponseAge() == 16s);
}
