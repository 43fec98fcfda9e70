#include <catch2/catch.hpp>

#include "world.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

// Ten seconds of generated traffic and troubles on one world.
void play(World& w, std::uint64_t seed) {
  std::ranlux24_base random(static_cast<unsigned>(seed));
  const auto below = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  const bool troubled = seed % 4 != 0;
  for (int step = 0; step < 1000; ++step) {
    w.runFor(10ms);
    if (troubled && step % 100 == 50) {
      w.chances = {0.04 * below(4), 0.03 * below(4), 0.03 * below(4),
                   0.05 * below(4), 0.3 * below(4),  0.2 * below(3)};
      if (below(3) == 0) w.counts.clear();
    }
    if (troubled && step % 130 == 60) {
      auto& host = w.hosts[below(6)];
      host.serving = !host.serving;
      if (host.serving) host.started = w.now;
      w.updateHosts();
    }
    const std::uint32_t victim = below(w.settings.gateways);
    if (troubled && step % 170 == 90 && w.alive(victim)) {
      w.kill(victim);
      w.at(w.now + 50ms * below(20), [&w, victim] { w.start(victim); });
    }
    for (unsigned n = below(5); n > 0; --n) {
      const std::uint32_t g = below(w.settings.gateways);
      if (!w.alive(g)) continue;
      const unsigned customer = below(12);
      w.ask(g, customer, customer % 3, below(4), 1 + below(4), 300ms + 100ms * below(18));
    }
  }
  w.runFor(4s);
}

}  // namespace

TEST_CASE("the module and the plain model agree on what is allowed") {
  const auto seed = GENERATE(take(24, random(1, 1'000'000)));
  PolicySettings settings = plainSettings(seed % 3 == 0 ? 30 : 3);
  settings.allowHedging = seed % 5 == 0;
  World w(settings, static_cast<std::uint64_t>(seed));
  play(w, static_cast<std::uint64_t>(seed));
  INFO("seed " << seed);
  CHECK(w.broken == std::set<std::string>{});
  CHECK(w.served() > 0);
}

TEST_CASE("one customer that comes through every gateway at once stays under its ceiling") {
  const auto seed = GENERATE(take(6, random(1, 1'000'000)));
  PolicySettings settings = plainSettings();
  settings.counter = seed % 2 == 0;  // each gateway keeps it alone
  World w(settings, static_cast<std::uint64_t>(seed));
  for (int step = 0; step < 600; ++step) {
    w.runFor(10ms);
    if (step % 150 == 149) {
      w.kill(step / 150 % 3);
      w.start(step / 150 % 3);
    }
    w.counts.clear();
    for (std::uint32_t g = 0; g < 3; ++g) w.ask(g, 7, 2, 0, 4);
  }
  CHECK(w.broken == std::set<std::string>{});
  CHECK(w.served() > 0);
}

TEST_CASE("a fleet that comes back cold is not pushed over, and is used") {
  World w(plainSettings(), 3);
  w.load(500);
  for (std::size_t h : {0, 1, 2}) w.hosts[h].started = w.now;
  w.updateHosts();
  w.load(500);
  CHECK(w.broken == std::set<std::string>{});
  CHECK(w.hosts[0].sent.size() > 0);
}
