#include "simulator_adapter/simulator_adapter.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "config/json_fields.hpp"
#include "simulator_adapter/message_reader.hpp"
#include "simulator_adapter/message_writer.hpp"
#include "simulator_adapter/wire_names.hpp"

using namespace merlinbridge;
using namespace merlinbridge::simulator_adapter;

namespace {

const std::string kInit =
    R"({"init":{"i":0,"rngSeed":7,"profileData":{"requestClasses":[{"effect":"free","promise":600000,"new":1}],)"
    R"("rules":{"startCapacity":0.2,"tipMultiple":3,"cold":1000000,"fall":1000000},"tariffs":[{"unitsPerS":5,)"
    R"("storeSize":9}],"siblings":1,"later":{}}}})";
const std::string kHosts =
    R"({"peersKnown":{"i":0,"how":"warm_copy","gen":1,"hosts":[{"host":"h \"1\"","stageState":"in_service"}]}})";
const std::string kRequest =
    R"({"demand":{"i":0,"id":"00000000000000ff","dropDead":2000000,"costUnits":1,"doors":1}})";

std::string batch(const std::string& lines) {
  return "{\"turn\":{\"wall\":1000}}\n" + lines + "\n{\"eofBatch\":{}}\n";
}
std::string reply(const std::string& input) {
  std::istringstream lines(input);
  std::ostringstream out;
  serve(lines, out);
  return out.str();
}

std::string contentOf(const std::string& fileName) {
  std::ifstream file(std::string(MERLINBRIDGE_TEST_DATA "/") + fileName, std::ios::binary);
  REQUIRE(file);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

// Recorded at commit a6e569e: 1,237 batches with rejections, retries, load shedding, an unresponsive counter
// service, a gateway that restarts, late messages and ignored ones. Each customer has one plan and one number
// of gateways.
TEST_CASE("the adapter replies to a recorded session with the same bytes as the recorded version") {
  const std::string expected = contentOf("simulator_conversation_output.jsonl");
  REQUIRE(expected.size() > 90'000);
  CHECK(reply(contentOf("simulator_conversation_input.jsonl")) == expected);
}

TEST_CASE("a request is forwarded with its identifier, host name and deadline unchanged") {
  const auto out = reply(batch(kInit + "\n" + kHosts + "\n" + kRequest));
  CHECK_THAT(out, Catch::Contains(R"("id":"00000000000000ff","host":"h \"1\"","abandonAt":2000000)"));
  CHECK_THAT(out, Catch::EndsWith("{\"ready\":{}}\n"));
}

TEST_CASE("late and duplicate messages are ignored") {
  const auto out = reply(batch(kInit) + batch(R"({"fired":{"i":0,"mark":"sweep"}})"
                                              "\n"
                                              R"({"cancelledByClient":{"i":0,"id":"00000000000000aa"}})"
                                              "\n"
                                              R"({"down":{"i":0}})"
                                              "\n"
                                              R"({"down":{"i":0}})"));
  CHECK(out == "{\"ready\":{}}\n{\"ready\":{}}\n");
}

TEST_CASE("the error for invalid input names the message and the field") {
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

TEST_CASE("the message reader gives messages a kind and skips blank lines") {
  std::istringstream input("\n{\"fired\":{\"i\":3}}\r\n \t\n{\"mail\":{}}\n{\"dance\":{}}\n");
  MessageReader reader(input);
  auto message = reader.next();
  REQUIRE(message);
  CHECK(message->kind == MessageKind::timerFired);
  CHECK(parseGatewayNumber(message->fields) == 3);
  message = reader.next();
  REQUIRE(message);
  CHECK(message->kind == MessageKind::ignored);
  message = reader.next();
  REQUIRE(message);
  CHECK(message->kind == MessageKind::unknown);
  CHECK(message->name == "dance");
  CHECK_FALSE(reader.next());
}

TEST_CASE("the end of an attempt is read with the load figures in the order of the gateway's settings") {
  std::istringstream input(
      R"({"result":{"sendNo":2,"code":"turned_away","elapsed":1500,"finalUnits":2.5,"stats":[7,0.5,9]}})");
  MessageReader reader(input);
  const auto message = reader.next();
  REQUIRE(message);
  const AttemptEnd end = parseAttemptEnd(message->fields, {"queue", "util"});
  CHECK(end.attempt.value == 2);
  CHECK(end.outcome == Outcome::rejected);
  CHECK(end.duration == std::chrono::microseconds(1500));
  CHECK(end.trueUnits == 2.5);
  CHECK(end.load.queued == 7);
  CHECK(end.load.utilization == 0.5);
  CHECK_FALSE(end.load.inFlight);
  CHECK_FALSE(end.responseForwarded);
}

TEST_CASE("the message writer appends one line per message and escapes texts") {
  ReplyBuffer reply;
  MessageWriter writer(4, reply);
  writer.reject({0xff}, std::chrono::milliseconds(2));
  writer.log("a \"b\"\n");
  MessageWriter::endReply(reply);
  CHECK(fmt::to_string(reply) ==
        "{\"sayNo\":{\"i\":4,\"id\":\"00000000000000ff\",\"holdOff\":2000}}\n"
        R"({"writeLog":{"i":4,"bodyText":"a \"b\"\u000a"}})"
        "\n{\"ready\":{}}\n");
}

TEST_CASE("a counter's name is parsed back to its key, and other names are refused") {
  for (const auto kind : {CounterKey::Kind::quotaUsage, CounterKey::Kind::inFlightTime}) {
    const CounterKey key{kind, {18446744073709551615u}, {-3}};
    CHECK(parseCounterName(counterName(key)) == key);
  }
  for (const char* const foreign : {"", "u", "u12.", "u123", ".123", "u.1"})
    CHECK_FALSE(parseCounterName(foreign));
}
