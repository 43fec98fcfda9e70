/// \file
/// The platform's configuration as the server reads it: defaults, out-of-range values, and the fields named
/// in errors.
#include <catch2/catch.hpp>
#include <stdexcept>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE(
    "A connect timeout that is missing or not positive, and a missing counter timeout, get their defaults") {
  const std::string field =
      GENERATE(as<std::string>(), "", "\"connectTimeout\":0,", "\"connectTimeout\":-5,");
  GatewayUnderTest gateway;
  const std::string text = replaceOnce(gateway.configText(""), "\"connectTimeout\":250000,", field);
  const config::GatewayConfig config =
      config::readGatewayConfig(replaceOnce(text, "\"countLimit\":50000,", ""));
  CHECK(config.settings.connectTimeout == 250ms);
  CHECK(config.settings.counterTimeout == 250ms);
  CHECK(config.drainGrace == 250ms);
}

TEST_CASE(
    "A configuration without plans gets a default plan, and a start time out of range is read as unknown") {
  GatewayUnderTest gateway;
  std::string text = gateway.configText("");
  const auto plansBegin = text.find("\"tariffs\"");
  const auto plansEnd = text.find("\"familyInfo\"");
  text.erase(plansBegin, plansEnd - plansBegin);
  const config::GatewayConfig config = config::readGatewayConfig(text);
  CHECK(config.settings.plans.size() == 1);
  const std::string lateStart = replaceOnce(text, "\"startedAtMs\":0", "\"startedAtMs\":9000000000000000");
  CHECK(config::readGatewayConfig(lateStart).knownEndpoints.entries.at(0).started == 0s);
}

TEST_CASE("A stated largest cost is told from one that is missing") {
  GatewayUnderTest gateway;
  const auto [field, maxUnits] = GENERATE(table<std::string, std::optional<double>>({
      {",\"largest\":8", 8.0},
      {",\"largest\":1", 1.0},
      {",\"largest\":0.5", 0.5},
      {",\"largest\":0", std::nullopt},
      {",\"largest\":null", std::nullopt},
      {"", std::nullopt},
  }));
  INFO(field);
  const std::string text = replaceOnce(gateway.configText(""), ",\"largest\":8", field);
  CHECK(config::readGatewayConfig(text).settings.maxUnits == maxUnits);
}

TEST_CASE("An invalid configuration is rejected with the name of its field, and so is an invalid address") {
  GatewayUnderTest gateway;
  const std::string valid = gateway.configText("");
  CHECK(config::readGatewayConfig(valid).maxDescriptors == 128);
  const auto [search, replacement, error] = GENERATE(table<std::string, std::string, std::string>({
      {"{\"name\"", "\"name\"", "not a JSON object"},
      {"\"seed\":\"8c1f\"", "\"seed\":\"8c1x\"", "'seed' is not a hex number"},
      {"\"listen\"", "\"heard\"", "'listen' is missing"},
      {"\"settings\"", "\"set\"", "'settings' is missing"},
      {"\"rules\"", "\"ruled\"", "'rules' is missing"},
      {"\"promise\":600000", "\"promise\":\"x\"", "'promise' is not a number"},
      {"\"largest\":8", "\"largest\":\"x\"", "'largest' is not a number"},
      {"\"largest\":8", "\"largest\":-1", "'largest' is negative"},
      {"\"lifecycle\"", "\"life\"", "'lifecycle' is missing"},
  }));
  CHECK_THROWS_WITH(config::readGatewayConfig(replaceOnce(valid, search, replacement)),
                    Catch::Contains(error));
  CHECK_THROWS_AS(net::parseAddress("localhost:80"), std::invalid_argument);
  CHECK_THROWS_AS(net::parseAddress("127.0.0.1:x"), std::invalid_argument);
  CHECK_THROWS_AS(net::parseAddress("127.0.0.1"), std::invalid_argument);
}
