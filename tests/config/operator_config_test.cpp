// The operators' configuration file: values, old names, and errors with their line and column.
#include "config/operator_config.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "config/toml_error.hpp"

using namespace merlinbridge;
using namespace merlinbridge::config;
using namespace std::chrono_literals;

namespace {

TomlProblem problemOf(const std::string& text) {
  try {
    readOperatorConfig(text, "own.toml");
  } catch (const TomlError& e) {
    CHECK(e.what() == textOf(e.problem()));
    return e.problem();
  }
  FAIL("no TomlError was thrown");
  return {};
}

}  // namespace

TEST_CASE("an empty operator configuration has the defaults") {
  const OperatorConfig config = readOperatorConfig("", "own.toml");
  CHECK(config.form == LogFormat::text);
  CHECK(config.level == LogLevel::info);
  CHECK(config.acceptFor == 700ms);
  CHECK(config.killedAfter == 3700ms);
  CHECK(config.reloadRetries == 5);
  CHECK(config.renamed.empty());
}

TEST_CASE("all keys of the operator configuration are read") {
  const OperatorConfig config = readOperatorConfig(
      "[log]\nform = \"json\"\nlevel = \"error\"\n[shutdown]\naccept_for = \"1s\"\nkilled_after = \"2s\"\n"
      "[reload]\nretries = 12\n",
      "own.toml");
  CHECK(config.form == LogFormat::json);
  CHECK(config.level == LogLevel::error);
  CHECK(config.acceptFor == 1s);
  CHECK(config.killedAfter == 2s);
  CHECK(config.reloadRetries == 12);
  CHECK(config.renamed.empty());
}

TEST_CASE("old names in the operator configuration are accepted, and each is listed with its new name") {
  const OperatorConfig config = readOperatorConfig(
      "[end]\nstill_coming = \"1s\"\nmost_life = \"2s\"\n[reload]\nlooks = 3\n", "own.toml");
  CHECK(config.acceptFor == 1s);
  CHECK(config.killedAfter == 2s);
  CHECK(config.reloadRetries == 3);
  REQUIRE(config.renamed.size() == 2);
  CHECK(config.renamed[0].text() ==
        "table end with still_coming and most_life is now called shutdown with accept_for and killed_after");
  CHECK(config.renamed[1].text() == "key reload.looks is now called reload.retries");
}

TEST_CASE("an error in the operator configuration names position, key, expected and found value") {
  const TomlProblem unknown = problemOf("[log]\nlevle = \"info\"\n");
  CHECK(unknown.fault == TomlFault::unknownKey);
  CHECK(unknown.line == 2);
  CHECK(unknown.column == 1);
  CHECK(unknown.key == "log.levle");
  CHECK(textOf(unknown) == "own.toml:2:1: unknown key 'log.levle'");

  const TomlProblem invalid = problemOf("[log]\nlevel = 3\n");
  CHECK(invalid.fault == TomlFault::invalidValue);
  CHECK(invalid.expected == "one of debug, info, warning, error");
  CHECK(invalid.found == "3");
  CHECK(textOf(invalid) == "own.toml:2:9: 'log.level': expected one of debug, info, warning, error, found 3");

  CHECK(problemOf("[end\n").fault == TomlFault::malformed);
  CHECK(problemOf("[end]\n[shutdown]\n").key == "end");
  CHECK(problemOf("[shutdown]\naccept_for = \"9s\"\nkilled_after = \"1s\"\n").expected ==
        "a duration no shorter than accept_for");
  CHECK(problemOf("[reload]\nretries = 13\n").expected == "an integer from 0 to 12");
  CHECK(problemOf("[reload]\nlooks = 1\nretries = 1\n").key == "reload.retries");
}
