#include "simulator_adapter/simulator_adapter.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "config/json_fields.hpp"

using merlinbridge::config::ConfigError;
using merlinbridge::simulator_adapter::serve;

namespace {

const std::string kInit =
    R"({"init":{"i":0,"rngSeed":7,"profileData":{"requestClasses":[{"effect":"free","promise":600000,"new":1}],)"
    R"("rules":{"startCapacity":0.2,"tipMultiple":3,"cold":1000000,"fall":1000000},"tariffs":[{"unitsPerS":5,)"
    R"("storeSize":9}],"siblings":1,"later":{}}}})";
const std::string kHosts =
    R"({"peersKnown":{"i":0,"how":"warm_copy","gen":1,"hosts":[{"host":"h \"1\"","stageState":"in_service"}]}})";
const std::string kAsk =
    R"({"demand":{"i":0,"id":"00000000000000ff","dropDead":2000000,"costUnits":1,"doors":1}})";

std::string batch(const std::string& lines) {
  return "{\"turn\":{\"wall\":1000}}\n" + lines + "\n{\"eofBatch\":{}}\n";
}
std::string reply(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out;
  serve(in, out);
  return out.str();
}

std::string contentOf(const std::string& fileName) {
  std::ifstream file(std::string(MERLINBRIDGE_TEST_DATA "/") + fileName, std::ios::binary);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

// Recorded with the program before the adapter was divided into reader, writer, instance and session: 1,237
// batches with rejections, retries, shed load, a silent counter service, a gateway that stops and starts,
// late and ignored messages.
TEST_CASE(
    "the adapter answers a recorded conversation with the same bytes as the version that was recorded") {
  const std::string expected = contentOf("simulator_conversation_output.jsonl");
  REQUIRE(expected.size() > 90'000);
  CHECK(reply(contentOf("simulator_conversation_input.jsonl")) == expected);
}

TEST_CASE("a request goes out to the host and its words come back as they were") {
  const auto out = reply(batch(kInit + "\n" + kHosts + "\n" + kAsk));
  CHECK_THAT(out, Catch::Contains(R"("id":"00000000000000ff","host":"h \"1\"","abandonAt":2000000)"));
  CHECK_THAT(out, Catch::EndsWith("{\"ready\":{}}\n"));
}

TEST_CASE("late and doubled events are taken quietly") {
  const auto out = reply(batch(kInit) + batch(R"({"fired":{"i":0,"mark":"sweep"}})"
                                              "\n"
                                              R"({"cancelledByClient":{"i":0,"id":"00000000000000aa"}})"
                                              "\n"
                                              R"({"down":{"i":0}})"
                                              "\n"
                                              R"({"down":{"i":0}})"));
  CHECK(out == "{\"ready\":{}}\n{\"ready\":{}}\n");
}

TEST_CASE("bad input is named") {
  const auto [input, named] = GENERATE(table<std::string, std::string>({
      {"nonsense\n", "not a JSON object"},
      {batch(R"({"demand":{"i":4,"id":"00000000000000ff","dropDead":5}})"),
       "demand: field 'i' names instance 4"},
      {batch(kInit + "\n" + R"({"demand":{"i":0,"dropDead":5}})"), "demand: field 'id' is missing"},
      {batch(kInit + "\n" + R"({"demand":{"i":0,"id":"zz","dropDead":5}})"),
       "demand: field 'id' is not 16 hex"},
      {batch(R"({"init":{"i":0,"rngSeed":1}})"), "init: field 'profileData' is missing"},
      {batch(kInit + "\n" + R"({"dance":{"i":0}})"), "dance"},
      {"{\"turn\":{\"wall\":1}}\n", "eofBatch: missing"},
  }));
  CHECK_THROWS_WITH(reply(input), Catch::Contains(named));
}
