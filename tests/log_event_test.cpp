// Compares the catalogue of log events with the formatted lines, the on-call page and the logging calls.
#include "util/log_event.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "util/log.hpp"

using namespace merlinbridge;

namespace {

const std::filesystem::path kSourceTree = MERLINBRIDGE_SOURCE_DIR;

std::string contentOf(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// The enumerator of an event as written in the sources: configReloaded for config_reloaded.
std::string enumeratorOf(std::string_view name) {
  std::string enumerator;
  bool upper = false;
  for (const char letter : name) {
    if (letter != '_') enumerator += upper ? static_cast<char>(std::toupper(letter)) : letter;
    upper = letter == '_';
  }
  return enumerator;
}

/// The text of the pattern's first group in each of its matches.
std::vector<std::string> matchesOf(const std::string& text, const std::string& pattern) {
  const std::regex expression(pattern);
  std::vector<std::string> found;
  for (auto match = std::sregex_iterator(text.begin(), text.end(), expression);
       match != std::sregex_iterator(); ++match)
    found.push_back(match->str(1));
  return found;
}

/// An entry of the on-call page: name and level from its heading, the quoted message and the items by label.
struct PageEntry {
  std::string name;
  std::string level;
  std::string message;
  std::map<std::string, std::string> items;
};

/// Reads the entries of the on-call page. An item extends to the next item or blank line.
std::vector<PageEntry> readPage() {
  std::istringstream page(contentOf(kSourceTree / "docs/on-call.md"));
  const std::regex heading("### `([a-z_]+)` \\(([a-z]+)\\)");
  const std::regex itemStart("- \\*\\*([A-Z][a-z]+):\\*\\* (.*)");
  std::vector<PageEntry> entries;
  std::string label;
  std::smatch match;
  for (std::string line; std::getline(page, line);) {
    if (line.empty() || line.starts_with("## ")) label.clear();
    if (std::regex_match(line, match, heading)) {
      entries.push_back({match[1], match[2], "", {}});
    } else if (line.starts_with("> ") && !entries.empty()) {
      entries.back().message = line.substr(2);
    } else if (std::regex_match(line, match, itemStart)) {
      label = match[1];
      entries.back().items[label] = match[2];
    } else if (line.starts_with("  ") && !label.empty()) {
      entries.back().items[label] += line.substr(1);
    }
  }
  return entries;
}

/// For each event, the space-separated field keys of every logging call in the sources.
std::map<std::string, std::set<std::string>> fieldsInSources() {
  std::map<std::string, std::set<std::string>> fields;
  const std::regex call("(?:log_?|formatLogLine)\\(([^;]*?LogEvent::[^;]*?)\\);");
  for (const auto& file : std::filesystem::recursive_directory_iterator(kSourceTree / "src")) {
    if (file.path().extension() != ".cpp" && file.path().extension() != ".hpp") continue;
    const std::string text = contentOf(file.path());
    for (auto match = std::sregex_iterator(text.begin(), text.end(), call); match != std::sregex_iterator();
         ++match) {
      if (match->str(1).find("infoOf(") != std::string::npos) continue;  // the message alone
      std::string keys;
      for (const std::string& key : matchesOf(match->str(1), "LogField\\{\"([a-z_]+)\""))
        keys += (keys.empty() ? "" : " ") + key;
      for (const std::string& event : matchesOf(match->str(1), "LogEvent::([A-Za-z]+)"))
        fields[event].insert(keys);
    }
  }
  return fields;
}

/// The titles of the test cases in a file, including titles split over several lines.
std::set<std::string> titlesIn(const std::filesystem::path& path) {
  const std::string joined = std::regex_replace(contentOf(path), std::regex("\"\\s*\\n\\s*\""), "");
  const std::vector<std::string> titles = matchesOf(joined, "TEST_CASE\\(\\s*\"([^\"]+)\"");
  return {titles.begin(), titles.end()};
}

/// The files that an item lists in backticks.
std::vector<std::string> filesIn(const std::string& item) {
  return matchesOf(item, "`([a-z_/]+\\.[a-z]+)`");
}

}  // namespace

TEST_CASE("a log line is level, event, message and key=value fields") {
  std::ostringstream out;
  Log log(out, LogLevel::info);
  log(LogEvent::discoveryUnreachable, LogField{"generation", 41});
  log(LogEvent::attemptStarted, LogField{"request", 7});  // below the minimum level
  CHECK(out.str() ==
        "warning: discovery_unreachable: discovery unreachable, keeping the last endpoint list "
        "generation=41\n");
  CHECK(log.enabled(LogEvent::ready));
  CHECK_FALSE(log.enabled(LogEvent::attemptStarted));
}

TEST_CASE("a log line as JSON has level, event and text") {
  std::ostringstream out;
  Log log(out, LogLevel::error);
  log.configure(LogLevel::debug, LogFormat::json);
  log(LogEvent::configRetryFailed, LogField{"error", std::string_view("no \"listen\"")},
      LogField{"retry", 2});
  CHECK(out.str() ==
        "{\"level\":\"debug\",\"event\":\"config_retry_failed\",\"text\":\"configuration still invalid, "
        "keeping the "
        "previous one error=\\\"no \\\"listen\\\"\\\" retry=2\"}\n");
}

TEST_CASE("values that are empty or contain spaces or quotes are put in double quotes") {
  std::string text;
  appendLogField(text, "plain", "127.0.0.1:80");
  appendLogField(text, "empty", "");
  appendLogField(text, "spaced", "timed out");
  CHECK(text == " plain=127.0.0.1:80 empty=\"\" spaced=\"timed out\"");
}

TEST_CASE("levels are parsed from their exact names only") {
  for (const auto& [name, level] : kLogLevelNames) {
    CHECK(parseLogLevel(name) == level);
    CHECK(nameOf(level) == name);
  }
  CHECK_FALSE(parseLogLevel("").has_value());
  CHECK_FALSE(parseLogLevel("Info").has_value());
  CHECK_FALSE(parseLogLevel("warn").has_value());
}

TEST_CASE("event names are unique lower-case words joined by underscores") {
  std::set<std::string_view> names;
  for (const LogEventInfo& info : kLogEvents) {
    CHECK(std::regex_match(std::string(info.name), std::regex("[a-z]+(_[a-z]+)*")));
    CHECK(names.insert(info.name).second);
    CHECK_FALSE(info.message.empty());
  }
}

TEST_CASE("the on-call page has one entry for each event, with its level, message and fields") {
  std::set<std::string> onPage;
  std::map<std::string, PageEntry> entries;
  for (const PageEntry& entry : readPage()) {
    INFO(entry.name);
    CHECK(onPage.insert(entry.name).second);
    entries[entry.name] = entry;
  }
  for (const LogEventInfo& info : kLogEvents) {
    INFO(info.name);
    const std::string name(info.name);
    REQUIRE(onPage.erase(name) == 1);
    CHECK(entries[name].level == nameOf(info.level));
    CHECK(entries[name].message == info.message);
    for (const char* label : {"Fields", "Meaning", "Causes", "Check", "Action", "File", "Test"})
      CHECK_FALSE(entries[name].items[label].empty());
    std::istringstream fields{std::string(info.fields)};
    for (std::string field; fields >> field;)
      CHECK(entries[name].items["Fields"].find("`" + field + "`") != std::string::npos);
    if (info.fields.empty()) CHECK(entries[name].items["Fields"] == "none");
  }
  CHECK(onPage == std::set<std::string>{});  // the page has no entry for an unknown event
}

TEST_CASE("files and tests that the on-call page names exist, and the file uses the event") {
  for (const PageEntry& entry : readPage()) {
    INFO(entry.name);
    const std::vector<std::string> sources = filesIn(entry.items.at("File"));
    REQUIRE(sources.size() == 1);
    REQUIRE(std::filesystem::is_regular_file(kSourceTree / sources[0]));
    CHECK(contentOf(kSourceTree / sources[0]).find("Event::" + enumeratorOf(entry.name)) !=
          std::string::npos);
    const std::vector<std::string> tests = filesIn(entry.items.at("Test"));
    REQUIRE(tests.size() == 1);
    REQUIRE(std::filesystem::is_regular_file(kSourceTree / tests[0]));
    const std::set<std::string> titles = titlesIn(kSourceTree / tests[0]);
    for (const std::string& title : matchesOf(entry.items.at("Test"), "\"([^\"]+)\""))
      CHECK(titles.contains(title));
  }
}

TEST_CASE("every logging call passes the fields of the catalogue in their order") {
  const std::map<std::string, std::set<std::string>> fields = fieldsInSources();
  std::size_t checked = 0;
  for (const LogEventInfo& info : kLogEvents) {
    INFO(info.name);
    const auto found = fields.find(enumeratorOf(info.name));
    if (found == fields.end()) continue;  // state changes of the decision engine: none has fields
    CHECK(found->second == std::set<std::string>{std::string(info.fields)});
    ++checked;
  }
  CHECK(checked >= kLogEvents.size() - 4);
}
