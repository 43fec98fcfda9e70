#include <catch2/catch.hpp>

#include "world.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

int passed(World& w, std::uint32_t gateway, std::uint64_t customer, std::uint32_t plan, int n,
           double units = 1) {
  int out = 0;
  for (int i = 0; i < n; ++i) out += w.ask(gateway, customer, plan, 0, units).attempts > 0;
  return out;
}

}  // namespace

TEST_CASE("a gateway new to a customer admits up to the burst over its gateways") {
  World w(plainSettings(), 1);
  CHECK(passed(w, 0, 5, 0, 12) == 4);
}

TEST_CASE("use at one gateway leaves less at the others after a round") {
  World w(plainSettings(), 1);
  passed(w, 0, 5, 0, 4);
  w.runFor(1s);
  passed(w, 0, 5, 0, 12);
  w.runFor(1s);
  passed(w, 1, 5, 0, 1);
  w.runFor(50ms);
  CHECK(passed(w, 1, 5, 0, 12) <= 8);
}

TEST_CASE("all gateways together stay near the quota of a customer who asks far more") {
  World w(plainSettings(), 1);
  int out = 0;
  for (int step = 0; step < 1000; ++step) {
    w.runFor(10ms);
    out += passed(w, step % 3, 5, 0, 1);
  }
  CHECK(out >= 45);  // a burst of 12, and 4 a second for 10 s
  CHECK(out <= 62);
}

TEST_CASE("in silence each gateway keeps to its part of the quota, and counts come back into force") {
  World w(plainSettings(), 1);
  w.chances.countLost = 1;
  int out = 0;
  for (int step = 0; step < 1000; ++step) {
    w.runFor(10ms);
    out += passed(w, step % 3, 5, 0, 1);
  }
  CHECK(out >= 40);
  CHECK(out <= 60);
  w.chances.countLost = 0;
  for (int step = 0; step < 500; ++step) {
    w.runFor(10ms);
    out += passed(w, step % 3, 5, 0, 1);
  }
  CHECK(out <= 85);
}

TEST_CASE("a counter that comes back empty frees no fresh burst") {
  World w(plainSettings(), 1);
  for (int step = 0; step < 300; ++step) {
    w.runFor(10ms);
    passed(w, step % 3, 5, 0, 1);
  }
  w.counts.clear();
  w.runFor(500ms);
  int out = 0;
  for (int i = 0; i < 12; ++i) out += passed(w, i % 3, 5, 0, 1);
  CHECK(out <= 6);
}

TEST_CASE("an idle customer costs no call") {
  World w(plainSettings(), 1);
  passed(w, 0, 5, 0, 1);
  w.runFor(5s);
  const int calls = w.countCalls;
  w.runFor(60s);
  CHECK(w.countCalls == calls);
}

TEST_CASE("a cap on open attempts is held") {
  World w(plainSettings(), 1);
  CHECK(passed(w, 0, 5, 1, 5) <= 2);
  w.runFor(100ms);
  CHECK(passed(w, 0, 5, 1, 1) == 1);
}

TEST_CASE("what is rejected is answered at once") {
  World w(plainSettings(), 1);
  for (int i = 0; i < 20; ++i) w.ask(0, 5, 0, 0, 1);
  for (const auto& [id, t] : w.tries) CHECK((t.attempts > 0 || (t.rejected && t.endedAt == t.cameAt)));
}

TEST_CASE("no hosts: rejected at once") {
  World w(plainSettings(), 1);
  for (auto& host : w.hosts) host.serving = false;
  w.updateHosts();
  CHECK(w.ask(0, 5, 0, 0, 1).rejected);
}

TEST_CASE("odd terms stay safe: no counter, one gateway, zero rates") {
  PolicySettings settings = plainSettings();
  settings.counter = GENERATE(true, false);
  settings.gateways = 1;
  settings.counterTimeout = 0ns;
  settings.slowStartTime = settings.overloadWindow = 0ns;
  settings.plans[0] = {};
  World w(settings, 1);
  CHECK(passed(w, 0, 5, 0, 3) == 3);
  w.runFor(5s);
  CHECK(w.broken == std::set<std::string>{});
}

TEST_CASE("what a mute host swallows is taken back and answered by another host") {
  World w(plainSettings(), 1);
  for (auto& host : w.hosts) host.service = 30ms;
  w.load(300);
  w.hosts[0].mute = true;
  w.load(300);
  w.runFor(3s);
  CHECK(w.hosts[0].taken > 0);
  const auto unserved = std::count_if(w.tries.begin(), w.tries.end(), [](const auto& t) {
    return t.second.attempts > 0 && !t.second.served;
  });
  CHECK(unserved <= 3);
}

TEST_CASE("what is out at a host that jams stays bounded by what it answers") {
  World w(plainSettings(), 1);
  for (auto& host : w.hosts) host.service = 400ms;  // of a soft deadline of 600 ms
  int most = 0;
  for (int step = 0; step < 800; ++step) {
    w.runFor(10ms);
    for (std::uint32_t g = 0; g < 3; ++g) w.ask(g, 100 + step % 60, 0, 0, 1);
    for (const auto& host : w.hosts) most = std::max(most, host.out);
  }
  CHECK(most <= 6);  // 3 gateways x 60 places would be open otherwise
  CHECK(w.served() > 100);
}

TEST_CASE("under pressure the requests of least utility are rejected first") {
  World w(plainSettings(), 1);
  for (auto& host : w.hosts) host.service = 250ms;
  int low = 0, high = 0;
  for (int step = 0; step < 800; ++step) {
    w.runFor(10ms);
    low += w.ask(0, 100 + step % 80, 0, 0, 1).attempts > 0;
    high += w.ask(0, 300 + step % 80, 0, 1, 1).attempts > 0;
  }
  CHECK(high > 2 * low);
}

TEST_CASE("a slow counter is called less, and no call waits for another of its customer") {
  World w(plainSettings(), 1);
  const auto callsIn = [&](int steps) {
    const int before = w.countCalls;
    w.load(steps);
    return w.countCalls - before;
  };
  callsIn(300);
  const int quick = callsIn(300);
  w.chances.countSlow = 1;
  callsIn(300);
  CHECK(callsIn(300) < quick / 4);
}

TEST_CASE("with a burst over its gateways under one unit, a new customer's first request passes") {
  PolicySettings settings = plainSettings();
  settings.plans[0].burst = 2;
  World w(settings, 1);
  CHECK(passed(w, 0, 5, 0, 3, 1) == 1);
}

TEST_CASE("a cap on open attempts is shared by the gateways once they have told each other") {
  World w(plainSettings(), 1);
  for (auto& host : w.hosts) host.service = 400ms;
  double out = 0;
  for (int step = 0; step < 1000; ++step) {
    w.runFor(10ms);
    w.ask(step % 3, 5, 1, 0, 1);
    if (step >= 500)
      for (const auto& host : w.hosts) out += host.out / 500.0;
  }
  CHECK(out < 3.5);  // 2 at each of 3 gateways would be 6
  CHECK(out > 1);
}

TEST_CASE("silence and its end are told once each") {
  World w(plainSettings(), 1);
  const auto load = [&](int steps) {
    for (int step = 0; step < steps; ++step) {
      w.runFor(10ms);
      w.ask(0, 100 + step % 5, 0, 0, 1);
    }
  };
  load(300);
  w.chances.countLost = 1;
  load(1500);
  w.chances.countLost = 0;
  load(1500);
  std::erase_if(w.events, [](EngineEvent event) {
    return event != EngineEvent::counterUnreachable && event != EngineEvent::counterRestored;
  });
  REQUIRE(w.events.size() == 2);
  CHECK(w.events[0] == EngineEvent::counterUnreachable);
  CHECK(w.events[1] == EngineEvent::counterRestored);
}

TEST_CASE("many gateways start with few calls to the counter, all together") {
  World w(plainSettings(60), 1);
  for (int step = 0; step < 100; ++step) {
    w.runFor(10ms);
    for (std::uint32_t g = 0; g < 60; ++g) w.ask(g, 100 + (step * 60 + g) % 977, 0, 0, 1);
  }
  CHECK(w.countCalls > 60);
  CHECK(w.countCalls < 1000);  // 4800 where each starts as if it were one of three
}

TEST_CASE("a host that comes back does not get a request from every gateway at once") {
  PolicySettings settings = plainSettings();
  settings.gateways = 40;
  settings.slowStartTime = 0ns;  // it is warm at once: only the rotation spreads them
  World w(settings, 1);
  const auto load = [&](int steps) {
    for (int step = 0; step < steps; ++step) {
      w.runFor(25ms);
      w.ask(step % 40, 100 + step % 300, 0, 0, 1);
    }
  };
  load(2000);
  w.hosts[0].started = w.now;
  w.updateHosts();
  w.hosts[0].taken = 0;
  load(40);  // one request from each gateway
  CHECK(w.hosts[0].taken > 0);
  CHECK(w.hosts[0].taken < 20);
}

TEST_CASE("what is out at slow hosts stays bounded, however many gateways there are") {
  World w(plainSettings(60), 1);
  for (auto& host : w.hosts) host.service = 550ms;
  int most = 0;
  for (int step = 0; step < 1500; ++step) {
    w.runFor(2ms);
    w.ask(step % 60, 100 + step, 0, 0, 1);
    int out = 0;
    for (const auto& host : w.hosts) most = std::max(most, out += host.out);
  }
  CHECK(most < 150);  // one at each host from each gateway would be 360
  CHECK(w.served() > 100);
}

TEST_CASE("a host that fails one method or rejects one plan keeps the rest") {
  const bool byPlan = GENERATE(true, false);
  World w(plainSettings(), 1);
  (byPlan ? w.hosts[0].refusesPlan : w.hosts[0].failsMethod) = 0;
  int bad = 0, good = 0;
  for (int step = 0; step < 2000; ++step) {
    w.runFor(10ms);
    const auto other = static_cast<std::uint32_t>(step % 2);
    const int before = w.hosts[0].taken;
    w.ask(step % 3, 100 + step % 80, byPlan ? 2 * other : 0, byPlan ? 0 : other, 1);
    (other ? good : bad) += w.hosts[0].taken - before;
  }
  CHECK(good > 50);
  CHECK(bad < good / 3);
}

TEST_CASE("a customer spread thin over many gateways keeps to its quota on the whole, a calm one is let in") {
  World w(plainSettings(40), 1);
  const auto admitted = [&](int times, Duration every, std::uint64_t customer) {
    int out = 0;
    for (int n = 0; n < times; w.runFor(every), ++n)
      out += passed(w, (n * 17 + n / 40) % 40, customer, 0, 1, 4);
    return out;
  };
  CHECK(admitted(34, 3s, 5) >= 30);  // a third of its quota
  const int heavy = admitted(400, 250ms, 6);
  CHECK(heavy >= 50);
  CHECK(heavy <= 240);  // its quota holds 103, and each gateway lets a first one pass
}

TEST_CASE("reported loads count in the pressure, and absurd ones harm nothing") {
  const auto load = GENERATE(LoadReport{40, {}, {}, 20, {}}, LoadReport{0, {}, {}, 0, {}},
                             LoadReport{-5, {}, {}, -1e300, {}}, LoadReport{1e300, {}, {}, 0, {}});
  World w(plainSettings(), 1);
  for (auto& host : w.hosts) host.load = load;
  int out = 0;
  for (int step = 0; step < 300; ++step) {
    w.runFor(10ms);
    out += passed(w, step % 3, 100 + step % 80, 0, 1);
  }
  CHECK(out > 0);
  CHECK((*load.inFlight > 1) == (out < 200));
  CHECK(w.broken == std::set<std::string>{});
}

TEST_CASE("a few jammed hosts do not make the others look full, and are left to work off what they hold") {
  World w(plainSettings(40), 1);
  for (auto& host : w.hosts) host.load = {2, 0, {}, 40, {}};
  w.hosts[0].service = 400ms, w.hosts[0].load = {60, 40, {}, 2, {}};
  const auto load = [&w](int steps) {
    const int before = w.served();
    for (int step = 0; step < steps; ++step) {
      w.runFor(10ms);
      w.ask(static_cast<std::uint32_t>(step % 40), 100 + step % 300, 0, 0, 1);
    }
    return w.served() - before;
  };
  load(2000);
  w.hosts[0].taken = 0;
  CHECK(load(2000) > 1900);
  CHECK(w.hosts[0].taken < 80);  // its turns would be some hundreds; it answers 40
}

TEST_CASE("a host that cannot be reached is tried ever more seldom, and at once again when it is back") {
  World w(plainSettings(40), 1);
  const auto triesAt0 = [&w](int steps) {
    const int before = w.hosts[0].taken;
    for (int step = 0; step < steps; ++step) {
      w.runFor(10ms);
      w.ask(static_cast<std::uint32_t>(step % 40), 100 + step % 300, 0, 0, 1);
    }
    return w.hosts[0].taken - before;
  };
  triesAt0(500);
  w.hosts[0].unreachable = true;
  triesAt0(3000);
  CHECK(triesAt0(3000) < 150);  // a second's sitting out each time would make it some 400
  w.hosts[0].unreachable = false, w.hosts[0].started = w.now - w.settings.slowStartTime;
  w.updateHosts();
  CHECK(triesAt0(1000) > 100);
}
