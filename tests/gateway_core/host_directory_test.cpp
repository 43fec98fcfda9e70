#include "gateway_core/host_directory.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using namespace std::chrono_literals;
using core::HostDirectory;

namespace {

constexpr Duration kLongestDeadline = 2s;

// Records the notifications of the directory.
struct RecordingObserver final : core::HostObserver {
  void hostUnavailable(HostId host) override { unavailable.push_back(host.value); }
  void endpointTableFull(std::string_view hostName) override { ignored.emplace_back(hostName); }

  std::vector<std::uint32_t> unavailable;
  std::vector<std::string> ignored;
};

config::Endpoint servingEndpoint(const std::string& name, const std::string& address = "127.0.0.1:1") {
  config::Endpoint endpoint{};
  endpoint.name = name;
  endpoint.address = address;
  endpoint.serving = true;
  return endpoint;
}

config::Endpoint goneEndpoint(const std::string& name) {
  config::Endpoint endpoint = servingEndpoint(name);
  endpoint.serving = false;
  endpoint.gone = true;
  return endpoint;
}

struct Fixture {
  RecordingObserver observer;
  HostDirectory hosts{kLongestDeadline, observer};
  TimePoint now{1'700'000'000s};
};

}  // namespace

TEST_CASE("HostDirectory assigns ids from 0 and finds hosts by id") {
  Fixture fixture;
  CHECK(fixture.hosts.update(fixture.now, servingEndpoint("a")) == HostId{0});
  CHECK(fixture.hosts.update(fixture.now, servingEndpoint("b", "10.0.0.2:80")) == HostId{1});
  CHECK(fixture.hosts.update(fixture.now, servingEndpoint("a")) == HostId{0});
  CHECK(fixture.hosts.nameOf({1}) == "b");
  CHECK(fixture.hosts.addressOf({1}) == "10.0.0.2:80");
  CHECK(fixture.observer.unavailable.empty());
}

TEST_CASE(
    "HostDirectory assigns no id to a host that is gone and was never "
    "known") {
  Fixture fixture;
  CHECK_FALSE(fixture.hosts.update(fixture.now, goneEndpoint("a")));
  CHECK(fixture.hosts.size() == 0);
}

TEST_CASE(
    "HostDirectory reports a host that drains, restarts or changes its "
    "address") {
  Fixture fixture;
  fixture.hosts.update(fixture.now, servingEndpoint("a"));
  config::Endpoint changed = servingEndpoint("a");
  SECTION("drains") {
    changed.serving = false;
  }
  SECTION("restarts") {
    changed.started = 5s;
  }
  SECTION("changes its address") {
    changed.address = "10.0.0.9:80";
  }
  fixture.hosts.update(fixture.now, changed);
  CHECK(fixture.observer.unavailable == std::vector<std::uint32_t>{0});
  CHECK(fixture.hosts.addressOf({0}) == changed.address);
}

TEST_CASE(
    "HostDirectory reports hosts missing from a complete list once, in "
    "the order of their ids") {
  Fixture fixture;
  for (const char* name : {"a", "b", "c"}) fixture.hosts.update(fixture.now, servingEndpoint(name));
  HostUpdate listed{};
  listed.host = {1};
  fixture.hosts.markUnlistedGone(fixture.now, {listed});
  fixture.hosts.markUnlistedGone(fixture.now, {listed});
  CHECK(fixture.observer.unavailable == std::vector<std::uint32_t>{0, 2});
}

TEST_CASE(
    "HostDirectory reuses a removed host's id after twice the "
    "longest deadline, not before") {
  Fixture fixture;
  fixture.hosts.update(fixture.now, servingEndpoint("old"));
  fixture.hosts.update(fixture.now, goneEndpoint("old"));
  fixture.observer.unavailable.clear();
  CHECK(fixture.hosts.update(fixture.now + 2 * kLongestDeadline, servingEndpoint("early")) == HostId{1});
  CHECK(fixture.observer.unavailable.empty());
  CHECK(fixture.hosts.update(fixture.now + 2 * kLongestDeadline + 1ns, servingEndpoint("late")) == HostId{0});
  CHECK(fixture.observer.unavailable == std::vector<std::uint32_t>{0});
  CHECK(fixture.hosts.nameOf({0}) == "late");
}

TEST_CASE(
    "HostDirectory does not reuse a removed host's id while an attempt to the "
    "host is in flight") {
  Fixture fixture;
  fixture.hosts.update(fixture.now, servingEndpoint("old"));
  fixture.hosts.attemptStarted({0});
  fixture.hosts.update(fixture.now, goneEndpoint("old"));
  fixture.now += 1h;
  CHECK(fixture.hosts.update(fixture.now, servingEndpoint("first")) == HostId{1});
  fixture.hosts.attemptEnded({0});
  CHECK(fixture.hosts.update(fixture.now, servingEndpoint("second")) == HostId{0});
}

TEST_CASE("HostDirectory ignores new hosts while it is full, and reports each") {
  Fixture fixture;
  for (std::size_t number = 0; number < HostDirectory::kMaxHosts; ++number)
    REQUIRE(fixture.hosts.update(fixture.now, servingEndpoint("host" + std::to_string(number))));
  CHECK_FALSE(fixture.hosts.update(fixture.now, servingEndpoint("extra")));
  CHECK(fixture.observer.ignored == std::vector<std::string>{"extra"});
  fixture.hosts.update(fixture.now, goneEndpoint("host7"));
  CHECK(fixture.hosts.update(fixture.now, servingEndpoint("extra")) == HostId{7});
}
