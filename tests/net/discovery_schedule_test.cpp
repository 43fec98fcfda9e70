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

DiscoverySchedule scheduleOf(std::uint64_t seed = 1, Duration drainGrace = kDrainGrace) {
  return {kConnectTimeout, drainGrace, seed};
}

// Whether a pause with that mean may have been drawn.
bool isDrawnAround(Duration pause, Duration mean) {
  return pause >= mean / 2 && pause <= mean * 3 / 2;
}

// The pauses after as many requests that all end so.
std::vector<Duration> pausesAfter(DiscoverySchedule& schedule, DiscoveryOutcome outcome, int requests) {
  std::vector<Duration> pauses;
  pauses.reserve(static_cast<std::size_t>(requests));
  for (int request = 0; request < requests; ++request) pauses.push_back(schedule.requestEnded(outcome));
  return pauses;
}

bool areDrawnAround(const std::vector<Duration>& pauses, Duration mean) {
  return std::all_of(pauses.begin(), pauses.end(),
                     [mean](Duration pause) { return isDrawnAround(pause, mean); });
}

// What is requested while each watch is rejected and each poll ends as given.
std::vector<DiscoveryRequest> requestsWhileWatchesAreRejected(DiscoveryOutcome pollOutcome,
                                                              std::size_t count) {
  DiscoverySchedule schedule = scheduleOf();
  std::vector<DiscoveryRequest> requests;
  while (requests.size() < count) {
    requests.push_back(schedule.nextRequest());
    const bool isWatch = requests.back() == DiscoveryRequest::watch;
    schedule.requestEnded(isWatch ? DiscoveryOutcome::rejected : pollOutcome);
  }
  return requests;
}

}  // namespace

TEST_CASE("a watch is requested first, and again after a watch that failed") {
  DiscoverySchedule schedule = scheduleOf();
  CHECK(schedule.nextRequest() == DiscoveryRequest::watch);
  schedule.requestEnded(DiscoveryOutcome::failed);
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

TEST_CASE("the pause after an updated list is three quarters of a heartbeat on the mean") {
  DiscoverySchedule schedule = scheduleOf();
  const std::vector<Duration> pauses = pausesAfter(schedule, DiscoveryOutcome::updated, 1000);
  CHECK(areDrawnAround(pauses, 1500ms));
  CHECK(*std::min_element(pauses.begin(), pauses.end()) < 800ms);
  CHECK(*std::max_element(pauses.begin(), pauses.end()) > 2200ms);
}

TEST_CASE("the backoff after rejections doubles from the connect timeout to half a heartbeat") {
  DiscoverySchedule schedule = scheduleOf();
  const std::vector<Duration> first = pausesAfter(schedule, DiscoveryOutcome::rejected, 100);
  CHECK(isDrawnAround(first[0], 250ms));
  CHECK(isDrawnAround(first[1], 500ms));
  CHECK(areDrawnAround({first.begin() + 2, first.end()}, 1s));
  schedule.resetBackoff();
  const std::vector<Duration> second = pausesAfter(schedule, DiscoveryOutcome::rejected, 3);
  CHECK(isDrawnAround(second[0], 250ms));
  CHECK(isDrawnAround(second[1], 500ms));
  CHECK(isDrawnAround(second[2], 1s));
}

TEST_CASE("the backoff without an answer stays at half the drain grace") {
  DiscoverySchedule schedule = scheduleOf();
  CHECK(areDrawnAround(pausesAfter(schedule, DiscoveryOutcome::failed, 20), 250ms));
}

TEST_CASE("without a drain grace the backoff is an eighth of the connect timeout") {
  DiscoverySchedule schedule = scheduleOf(1, 0ms);
  CHECK(areDrawnAround(pausesAfter(schedule, DiscoveryOutcome::failed, 20), kConnectTimeout / 8));
}

TEST_CASE("a new address starts with a watch and the shortest backoff") {
  DiscoverySchedule schedule = scheduleOf();
  pausesAfter(schedule, DiscoveryOutcome::rejected, 5);
  schedule.reset();
  CHECK(schedule.nextRequest() == DiscoveryRequest::watch);
  CHECK(isDrawnAround(schedule.requestEnded(DiscoveryOutcome::rejected), 250ms));
}

TEST_CASE("the seed alone determines the pauses between requests to discovery") {
  DiscoverySchedule first = scheduleOf(7);
  DiscoverySchedule second = scheduleOf(7);
  DiscoverySchedule other = scheduleOf(8);
  const std::vector<Duration> pauses = pausesAfter(first, DiscoveryOutcome::updated, 10);
  CHECK(pausesAfter(second, DiscoveryOutcome::updated, 10) == pauses);
  CHECK(pausesAfter(other, DiscoveryOutcome::updated, 10) != pauses);
}
