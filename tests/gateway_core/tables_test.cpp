#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "gateway_core/deferred_events.hpp"
#include "gateway_core/name_table.hpp"
#include "gateway_core/request_table.hpp"
#include "gateway_core/slot_table.hpp"

using namespace merlinbridge;
using namespace std::chrono_literals;

TEST_CASE("SlotTable does not find a dropped element by its reference, even after its slot is reused") {
  core::SlotTable<std::string> table;
  const core::SlotRef first = table.add("first");
  table.drop(first);
  const core::SlotRef second = table.add("second");
  CHECK(second.slot == first.slot);
  CHECK(table.find(first) == nullptr);
  REQUIRE(table.find(second) != nullptr);
  CHECK(*table.find(second) == "second");
  table.drop(first);
  CHECK(table.size() == 1);
  CHECK(core::SlotRef::unpacked(second.packed()) == second);
  CHECK(table.find(core::SlotRef{}) == nullptr);
}

TEST_CASE("SlotTable does not move its elements and visits them in the order of their slots") {
  core::SlotTable<std::string> table;
  const core::SlotRef first = table.add("0");
  const std::string* const address = table.find(first);
  core::SlotRef dropped;
  for (int count = 1; count < 100; ++count) {
    const core::SlotRef ref = table.add(std::to_string(count));
    if (count == 50) dropped = ref;
  }
  table.drop(dropped);
  CHECK(table.find(first) == address);
  std::vector<std::string> visited;
  table.forEach([&](core::SlotRef, const std::string& element) { visited.push_back(element); });
  REQUIRE(visited.size() == 99);
  CHECK(visited[49] == "49");
  CHECK(visited[50] == "51");
}

TEST_CASE("NameTable removes a name when its id is reassigned to another name") {
  core::NameTable<HostId> table;
  CHECK(table.findOrAdd("a") == HostId{0});
  CHECK(table.findOrAdd("b") == HostId{1});
  CHECK(table.findOrAdd("a") == HostId{0});
  table.reassign({0}, "c");
  CHECK_FALSE(table.find("a"));
  CHECK(table.find("c") == HostId{0});
  CHECK(table.nameOf({0}) == "c");
  CHECK(table.size() == 2);
}

TEST_CASE("RequestTable::markAnswered returns each request only once") {
  core::RequestTable table;
  const RequestId requestId = table.add({3, 1}, TimePoint{1s});
  CHECK(table.unansweredCount() == 1);
  const core::PendingRequest* const request = table.markAnswered(requestId);
  REQUIRE(request != nullptr);
  CHECK(request->client == core::SlotRef{3, 1});
  CHECK(table.markAnswered(requestId) == nullptr);
  CHECK(table.unansweredCount() == 0);
  table.drop(requestId);
  CHECK(table.find(requestId) == nullptr);
  CHECK(table.attemptCount(requestId) == 0);
}

TEST_CASE("PendingRequest numbers its attempts from 0 and finds only those in flight") {
  core::PendingRequest request;
  CHECK(request.addAttempt({7}, TimePoint{1s}) == AttemptNumber{0});
  CHECK(request.addAttempt({8}, TimePoint{2s}) == AttemptNumber{1});
  CHECK(request.attemptsInFlight == 2);
  core::Attempt* const first = request.findInFlight({0});
  REQUIRE(first != nullptr);
  CHECK(first->host == HostId{7});
  request.endAttempt(*first);
  CHECK(request.findInFlight({0}) == nullptr);
  CHECK(request.findInFlight({1}) != nullptr);
  CHECK(request.findInFlight({2}) == nullptr);
  CHECK(request.attemptsInFlight == 1);
}

TEST_CASE("DeferredEvents handles events in order, including those that the handler adds") {
  core::DeferredEvents events;
  std::vector<std::uint64_t> handled;
  events.add(core::ClientDisconnected{{1}});
  events.add(core::AttemptToAbandon{{2}, {0}, Outcome::cancelled});
  const auto handler = [&](const auto& event) {
    handled.push_back(event.requestId.value);
    if (event.requestId.value == 1) {
      events.add(core::ClientDisconnected{{3}});
      events.drain([&](const auto&) { handled.push_back(0); });  // no effect: the outer drain goes on
    }
  };
  events.drain(handler);
  CHECK(handled == std::vector<std::uint64_t>{1, 2, 3});
}
