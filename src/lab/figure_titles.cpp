#include "lab/figure_titles.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace merlinbridge::lab {
namespace {

struct RenamedTitle {
  std::string_view previous;
  std::string_view current;
};

/// Must match scripts/renamed_titles.txt; a test compares the two lists.
constexpr std::array kRenamedTitles{
    RenamedTitle{"asked", "requests"},
    RenamedTitle{"worth", "utility_served"},
    RenamedTitle{"tries", "client_attempts"},
    RenamedTitle{"pushed_back", "rejected"},
    RenamedTitle{"aborted", "failed_answers"},
    RenamedTitle{"call_outs", "attempts"},
    RenamedTitle{"further", "retries"},
    RenamedTitle{"connects", "connections"},
    RenamedTitle{"count_calls", "counter_calls"},
    RenamedTitle{"list_lines", "endpoint_updates"},
    RenamedTitle{"beyond_quota", "over_quota"},
    RenamedTitle{"hosts_fallen", "hosts_overloaded"},
    RenamedTitle{"most_in_flight", "max_in_flight"},
    RenamedTitle{"broken_ceiling", "violations_ceiling"},
    RenamedTitle{"broken_cold", "violations_slow_start"},
    RenamedTitle{"broken_drain", "violations_drain"},
    RenamedTitle{"broken_lost", "violations_lost"},
    RenamedTitle{"broken_twice", "violations_duplicate"},
};

constexpr std::array<std::string_view, 4> kCounts{"requests", "endpoint_updates", "hosts_overloaded",
                                                  "max_in_flight"};
constexpr std::array<std::string_view, 4> kRatios{"client_attempts", "attempts", "connections",
                                                  "counter_calls"};
constexpr std::string_view kViolationsPrefix = "violations_";
constexpr std::string_view kMillisecondsSuffix = "_ms";

template <class Titles>
bool contains(const Titles& titles, std::string_view title) {
  return std::find(titles.begin(), titles.end(), title) != titles.end();
}

}  // namespace

std::string_view currentTitle(std::string_view title) {
  const auto renamed = std::find_if(kRenamedTitles.begin(), kRenamedTitles.end(),
                                    [title](const RenamedTitle& each) { return each.previous == title; });
  return renamed == kRenamedTitles.end() ? title : renamed->current;
}

std::string titleWithUnit(std::string_view title) {
  if (title.ends_with(kMillisecondsSuffix))
    return fmt::format("{} (ms)", title.substr(0, title.size() - kMillisecondsSuffix.size()));
  if (contains(kCounts, title) || title.starts_with(kViolationsPrefix))
    return fmt::format("{} (number)", title);
  if (contains(kRatios, title)) return fmt::format("{} (ratio)", title);
  return fmt::format("{} (fraction)", title);
}

}  // namespace merlinbridge::lab
