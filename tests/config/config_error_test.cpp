// Errors in the platform's configuration: the fault, the field, the value found and the error message.
#include "config/config_error.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "config/gateway_config.hpp"
#include "config/json_fields.hpp"

using namespace merlinbridge;
using namespace merlinbridge::config;

namespace {

/// The problem of the ConfigError that `call` throws.
ConfigProblem problemOf(const std::function<void()>& call) {
  try {
    call();
  } catch (const ConfigError& e) {
    CHECK(e.what() == textOf(e.problem()));
    return e.problem();
  }
  FAIL("no ConfigError was thrown");
  return {};
}

/// A parsed message with one field of each type.
struct Message {
  simdjson::dom::parser parser;
  element root = parser.parse(std::string(R"({"text":"x","flag":true,"below":-1,"huge":1e30,"list":[1],)"
                                          R"("none":null,"long":")") +
                              std::string(100, 'a') + R"("})");
  JsonFields fields{"message", root};
};

}  // namespace

TEST_CASE("an error names the field, the fault and the value found") {
  struct Case {
    std::string name;
    std::function<void(const JsonFields&)> read;
    ConfigFault fault;
    std::string path;
    std::string found;
    std::string text;
  };
  const Case given = GENERATE(values<Case>({
      {"missing", [](const JsonFields& fields) { fields.require<double>("gone"); }, ConfigFault::missingField,
       "message.gone", "", "message: field 'gone' is missing"},
      {"wrong type", [](const JsonFields& fields) { fields.require<bool>("text"); }, ConfigFault::wrongType,
       "message.text", "\"x\"", "message: field 'text' has the wrong type"},
      {"not a number", [](const JsonFields& fields) { fields.get("text", 1.0); }, ConfigFault::notANumber,
       "message.text", "\"x\"", "message: field 'text' is not a number"},
      {"negative", [](const JsonFields& fields) { fields.get("below", 1u); }, ConfigFault::negative,
       "message.below", "-1", "message: field 'below' is negative"},
      {"out of range", [](const JsonFields& fields) { fields.get("huge", 1); }, ConfigFault::outOfRange,
       "message.huge", "1e+30", "message: field 'huge' is out of range"},
      {"duration out of range", [](const JsonFields& fields) { fields.duration("huge"); },
       ConfigFault::outOfRange, "message.huge", "1e+30", "message: field 'huge' is out of range"},
      {"not an array", [](const JsonFields& fields) { fields.array("flag"); }, ConfigFault::notAnArray,
       "message.flag", "true", "message: field 'flag' is not an array"},
      {"described in words", [](const JsonFields& fields) { fields.fail("text", "is not known"); },
       ConfigFault::other, "message.text", "\"x\"", "message: field 'text' is not known"},
  }));
  INFO(given.name);
  const Message message;
  const ConfigProblem problem = problemOf([&] { given.read(message.fields); });
  CHECK(problem.fault == given.fault);
  CHECK(problem.path == given.path);
  CHECK(problem.found == given.found);
  CHECK(textOf(problem) == given.text);
}

TEST_CASE("a long value is cut in the error") {
  const Message message;
  const ConfigProblem problem = problemOf([&] { message.fields.require<double>("long"); });
  CHECK(problem.found == "\"" + std::string(kMaxFoundBytes - 1, 'a'));
}

TEST_CASE("fields that are missing or null get the default value") {
  const Message message;
  CHECK(message.fields.get("gone", 7) == 7);
  CHECK(message.fields.get("none", 7) == 7);
  CHECK_FALSE(message.fields.has("none"));
  CHECK(message.fields.optionalSection("gone").get("any", true));
  CHECK(message.fields.duration("gone", Duration{5}) == Duration{5});
}

TEST_CASE("problems that concern no field have their own fault and message") {
  CHECK(problemOf([] { readGatewayConfig("{"); }).fault == ConfigFault::notAnObject);
  CHECK(problemOf([] { readGatewayConfig("[]"); }).fault == ConfigFault::notAnObject);
  CHECK(textOf({ConfigFault::notAnObject, "", "", ""}) == "the file is not a JSON object");
  CHECK(textOf({ConfigFault::unreadableFile, "/a.json", "", ""}) == "cannot read /a.json");
  CHECK(textOf({ConfigFault::unsetVariable, "GW_CONFIG", "", ""}) == "GW_CONFIG is not set");
  const ConfigError error("some other problem");
  CHECK(error.problem().fault == ConfigFault::other);
  CHECK(textOf(error.problem()) == "some other problem");
}
