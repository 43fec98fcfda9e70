#include "lab/shrink.hpp"

#include <algorithm>

namespace merlinbridge::lab {
namespace {

using emulator::Scenario;

template <class List>
std::vector<Scenario> without(const Scenario& s, List Scenario::*list, std::size_t least) {
  std::vector<Scenario> all;
  for (std::size_t n = 0; (s.*list).size() > least && n < (s.*list).size(); ++n) {
    Scenario less = s;
    (less.*list).erase((less.*list).begin() + static_cast<std::ptrdiff_t>(n));
    all.push_back(std::move(less));
  }
  return all;
}

// All scenarios that are one step smaller, the largest steps first.
std::vector<Scenario> smaller(const Scenario& s) {
  std::vector<Scenario> all = without(s, &Scenario::faults, 0);
  const auto with = [&all, &s](auto what) {
    Scenario less = s;
    if (what(less)) all.push_back(std::move(less));
  };
  const auto halved = [&with](auto Scenario::*field, auto least) {
    with([=](Scenario& less) {
      const auto was = less.*field;
      less.*field = std::max(static_cast<std::decay_t<decltype(was)>>(least), was / 2);
      return less.*field != was;
    });
  };
  halved(&Scenario::gateways, 1), halved(&Scenario::hosts, 1), halved(&Scenario::customers, 1);
  halved(&Scenario::rate, 1.0), halved(&Scenario::zones, 1), halved(&Scenario::spread, 1);
  with([](Scenario& less) {
    // What a fault needs to begin and to be seen stays.
    double last = 0;
    for (const emulator::Fault& f : less.faults) last = std::max(last, f.from.most);
    const Duration shorter =
        std::max({scaled(less.length, 0.5), durationOf(last + 1), Duration(std::chrono::seconds(1))});
    return std::exchange(less.length, std::min(less.length, shorter)) != less.length;
  });
  for (std::size_t n = 0; n < s.faults.size(); ++n)
    with([n](Scenario& less) {
      auto& f = less.faults[n];
      if (f.from.most < 0.5) return false;
      f.from.least /= 2, f.from.most /= 2;
      return true;
    });
  for (auto& less : without(s, &Scenario::methods, 1)) all.push_back(std::move(less));
  for (auto& less : without(s, &Scenario::plans, 1)) all.push_back(std::move(less));
  return all;
}

}  // namespace

Scenario shrink(const Scenario& from, const Shows& shows, std::size_t most, std::size_t& tried) {
  Scenario least = from;
  tried = 1;
  if (!shows(least)) throw Unfit("the scenario does not show it with this seed");
  for (bool gained = true; gained && tried < most;) {
    gained = false;
    for (Scenario& less : smaller(least)) {
      if (tried >= most) break;
      ++tried;
      if (!shows(less)) continue;
      least = std::move(less);
      gained = true;
      break;
    }
  }
  return least;
}

}  // namespace merlinbridge::lab
