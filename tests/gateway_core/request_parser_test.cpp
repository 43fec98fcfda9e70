/// \file
/// What a sound request is: the client protocol, part by part.
#include "gateway_core/request_parser.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "support/messages.hpp"
#include "support/simulated_fleet.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;
using namespace std::chrono_literals;

namespace {

// One method of each idempotency, in the order of testPolicySettings().
constexpr const char* kIdempotentRequest =
    "GET /look/a?b=c HTTP/1.1\r\nHost: x\r\nReq-Id: 00000000000000a1\r\nReq-Kind: look\r\nPlan: open\r\n"
    "Account: 00000000b4d65521\r\nReq-Deadline-Ms: 480\r\nQuota-Info: units=2, spread=3,first=1\r\n\r\n";
constexpr const char* kDeduplicatedRequest =
    "POST /book/a?b=c HTTP/1.1\r\nHost: x\r\nReq-Id: 00000000000000a1\r\nReq-Kind: book\r\nPlan: open\r\n"
    "Account: 00000000b4d65521\r\nReq-Deadline-Ms: 480\r\nIdempotency-Key: k1\r\n"
    "Quota-Info: units=2, spread=3,first=1\r\nContent-Length: 2\r\n\r\nhi";
constexpr const char* kNonIdempotentRequest =
    "POST /pay/a?b=c HTTP/1.1\r\nHost: x\r\nReq-Id: 00000000000000a1\r\nReq-Kind: pay\r\nPlan: open\r\n"
    "Account: 00000000b4d65521\r\nReq-Deadline-Ms: 480\r\n"
    "Quota-Info: units=2, spread=3,first=1\r\nContent-Length: 2\r\n\r\nhi";

/// A request with its first `original` replaced, and the error that is expected; empty if it is sound.
struct ChangedRequest {
  const char* request;
  std::string original;
  std::string replacement;
  std::string errorText;
};

const std::string kBadId = "Req-Id is repeated or not of 16 hex digits";
const std::string kBadHost = "Host is missing or repeated";
const std::string kRepeated = "a field is repeated";
const std::string kBadCustomer = "Account is not of 16 hex digits below 2^33";
const std::string kBadDeadline = "Req-Deadline-Ms is not a whole number";
const std::string kBadUnits = "Quota-Info has no number of units";
const std::string kBadSpread = "Quota-Info has no spread";
const std::string kBadFirst = "Quota-Info has no first gateway";
const std::string kBadMethod = "not the HTTP method of the Req-Kind";
const std::string kBadPath = "not a path of the Req-Kind";
const std::string kBadKey = "Idempotency-Key is missing, repeated or not allowed";

std::string errorOf(const ChangedRequest& changed, core::ParsedRequest& parsed,
                    const PolicySettings& settings = testPolicySettings()) {
  static const core::NameTables names{
      core::NameTable<MethodId>(std::vector<std::string>{"look", "book", "zoned", "pay"}),
      core::NameTable<PlanId>(std::vector<std::string>{"metered", "open", "capped"}),
      {},
      {}};
  std::string text = replaceOnce(changed.request, changed.original, changed.replacement);
  http::Message message(http::Message::Kind::request);
  REQUIRE(message.advance(text.data(), text.size()) == http::Message::Stage::done);
  parsed = core::parseRequest(message, names, settings, TimePoint(1s));
  return std::string(parsed.error ? core::textOf(*parsed.error) : "");
}

void checkAll(const std::vector<ChangedRequest>& requests) {
  for (const ChangedRequest& changed : requests) {
    INFO(changed.request << "with '" << changed.replacement << "' for '" << changed.original << "'");
    core::ParsedRequest parsed{};
    CHECK(errorOf(changed, parsed) == changed.errorText);
  }
}

}  // namespace

TEST_CASE("A sound request of each idempotency is parsed from its header fields") {
  const auto [text, method, hasKey] = GENERATE(table<const char*, std::uint32_t, bool>(
      {{kIdempotentRequest, 0, false}, {kDeduplicatedRequest, 1, true}, {kNonIdempotentRequest, 3, false}}));
  core::ParsedRequest parsed{};
  REQUIRE(errorOf({text, "", "", ""}, parsed).empty());
  CHECK(parsed.request.method == MethodId{method});
  CHECK(parsed.request.plan == PlanId{1});
  CHECK(parsed.request.customer == CustomerId{0xb4d65521});
  CHECK(parsed.request.deadline == TimePoint(1480ms));
  CHECK(parsed.request.units == 2);
  CHECK(parsed.request.gateways == 3);
  CHECK(parsed.request.hasIdempotencyKey == hasKey);
}

TEST_CASE("Each header field of the protocol occurs once and has its form") {
  const char* const request = kIdempotentRequest;
  checkAll({
      {request, "Req-Id: 00000000000000a1", "X: 1", "Req-Id is missing"},
      {request, "Req-Id: ", "Req-Id: 00000000000000a2\r\nreq-id: ", kBadId},
      {request, "00000000000000a1", "1", kBadId},
      {request, "00000000000000a1", "00000000000000a1b", kBadId},
      {request, "00000000000000a1", "00000000000000ax", kBadId},
      {request, "00000000000000a1", "00000000000000A1", ""},
      {request, "Host: x", "X: x", kBadHost},
      {request, "Host: x", "Host: ", kBadHost},
      {request, "Host: x", "Host: x\r\nhost: x", kBadHost},
      {request, "Req-Kind", "Req-Kind: look\r\nReq-Kind", kRepeated},
      {request, "Plan", "Plan: open\r\nplan", kRepeated},
      {request, "Account", "Account: 0000000000000001\r\nAccount", kRepeated},
      {request, "Req-Deadline-Ms", "Req-Deadline-Ms: 480\r\nReq-Deadline-Ms", kRepeated},
      {request, "Quota-Info", "Quota-Info: units=2\r\nQuota-Info", kRepeated},
      {kDeduplicatedRequest, "Idempotency-Key", "Idempotency-Key: k2\r\nIdempotency-Key", kRepeated},
      {request, "Host", "Connection: close, req-deadline-ms\r\nHost",
       "Connection names a field of the request"},
      {request, "Host", "Connection: close\r\nConnection: Req-Id\r\nHost",
       "Connection names a field of the request"},
      {request, "Host", "Connection: close\r\nHost", ""},
      {request, "Req-Kind: look", "Req-Kind: dance", "Req-Kind is not known"},
      {request, "open", "none", "Plan is not known"},
      {request, "b4d65521", "b4d6552x", kBadCustomer},
      {request, "00000000b4d65521", "7", kBadCustomer},
      {request, "00000000b4d65521", "00000001ffffffff", ""},
      {request, "00000000b4d65521", "0000000200000000", kBadCustomer},
      {request, "00000000b4d65521", "ffffffffffffffff", kBadCustomer},
      {request, "480", "4.5", kBadDeadline},
      {request, "480", "99999999999", kBadDeadline},
      {request, "480", "-1", kBadDeadline},
      {request, "480", "", kBadDeadline},
  });
}

TEST_CASE("The parameters of Quota-Info are in range and occur once") {
  const char* const request = kIdempotentRequest;
  checkAll({
      {request, "units=2", "units=-1", kBadUnits},
      {request, "units=2", "units=1e300", kBadUnits},
      {request, "units=2", "units=0", kBadUnits},
      {request, "units=2", "units=", kBadUnits},
      {request, "units=2", "units=4.5", kBadUnits},  // the settings' largest cost is 4
      {request, "spread=3", "spread=x", kBadSpread},
      {request, "spread=3", "spread=", kBadSpread},
      {request, "spread=3", "spread=0", kBadSpread},
      {request, "spread=3", "spread=-1", kBadSpread},
      {request, "spread=3", "spread=4", kBadSpread},  // there are 3 gateways
      {request, "first=1", "first=3", kBadFirst},
      {request, "first=1", "first=-1", kBadFirst},
      {request, "first=1", "first=x", kBadFirst},
      {request, "first=1", "first=2", ""},
      {request, "units=2", "units=2,units=2", "Quota-Info states a value twice"},
      {request, "first=1", "first=1, first=2", "Quota-Info states a value twice"},
  });
}

// Guards against a parameter that is present without a number being taken for one that is left out.
TEST_CASE("A parameter of Quota-Info that has no number is refused, and not taken for a missing one") {
  const char* const request = kIdempotentRequest;
  checkAll({
      {request, "units=2", "units", kBadUnits},
      {request, "units=2", "units:9", kBadUnits},
      {request, "units=2", "units;9", kBadUnits},
      {request, "units=2", "units 9", kBadUnits},
      {request, "units=2", "units =2", kBadUnits},
      {request, "units=2", "units= 2", kBadUnits},
      {request, "units=2", "units==2", kBadUnits},
      {request, "units=2", "Units", kBadUnits},
      {request, "units=2", "units=2x", kBadUnits},
      {request, "spread=3", "spread", kBadSpread},
      {request, "spread=3", "spread:3", kBadSpread},
      {request, "spread=3", "spread =3", kBadSpread},
      {request, "spread=3", "SPREAD=4", kBadSpread},
      {request, "spread=3", "spread=3.0", kBadSpread},
      {request, "first=1", "first", kBadFirst},
      {request, "first=1", "first:1", kBadFirst},
      {request, "first=1", "first =1", kBadFirst},
      {request, "first=1", "first=", kBadFirst},
      {request, "units=2", "units,units=2", "Quota-Info states a value twice"},
      {request, "units=2", "units=2,Units=2", "Quota-Info states a value twice"},
  });
}

TEST_CASE("Parameters that are left out get their defaults, and unknown ones are ignored") {
  const auto [list, units, gateways] = GENERATE(table<std::string, double, std::uint32_t>({
      {"Quota-Info: units=2, spread=3,first=1", 2, 3},
      {"Quota-Info: Units=2,spread=1", 2, 1},
      {"Quota-Info: spread=2,first=0", kDefaultUnits, 2},
      {"Quota-Info: units=4", 4, 3},
      {"Quota-Info: ", kDefaultUnits, 3},
      {"Quota-Info: ,units=2,, ", 2, 3},
      {"Quota-Info: unit=9,units2=9,units-x=9,x,x=units", kDefaultUnits, 3},
      {"X: 1", kDefaultUnits, 3},
  }));
  core::ParsedRequest parsed{};
  INFO(list);
  CHECK(errorOf({kIdempotentRequest, "Quota-Info: units=2, spread=3,first=1", list, ""}, parsed).empty());
  CHECK(parsed.request.units == units);
  CHECK(parsed.request.gateways == gateways);
}

// Guards against a stated largest cost of 1 being taken for a missing one, which let requests of any cost
// run.
TEST_CASE("A stated largest cost binds, also one of 1") {
  PolicySettings settings = testPolicySettings();
  settings.maxUnits = 1;
  core::ParsedRequest parsed{};
  const auto errorWith = [&](const std::string& units) {
    return errorOf({kIdempotentRequest, "units=2", units, ""}, parsed, settings);
  };
  CHECK(errorWith("units=1").empty());
  CHECK(errorWith("units=0.25").empty());
  CHECK(errorWith("x=2").empty());
  CHECK(errorWith("units=1.5") == kBadUnits);
  CHECK(errorWith("units=2") == kBadUnits);
  CHECK(errorWith("units=25.5") == kBadUnits);
}

TEST_CASE("Without a stated largest cost, units up to a million are accepted") {
  PolicySettings settings = testPolicySettings();
  settings.maxUnits.reset();
  core::ParsedRequest parsed{};
  const auto errorWith = [&](const std::string& units) {
    return errorOf({kIdempotentRequest, "units=2", units, ""}, parsed, settings);
  };
  CHECK(errorWith("units=25.5").empty());
  CHECK(errorWith("units=1000000").empty());
  CHECK(errorWith("units=1000001") == kBadUnits);
}

TEST_CASE("The method fixes the HTTP method, the body and the idempotency key of a request") {
  checkAll({
      {kIdempotentRequest, "GET", "POST", kBadMethod},
      {kIdempotentRequest, "GET", "get", kBadMethod},
      {kIdempotentRequest, "GET", "DELETE", kBadMethod},
      {kDeduplicatedRequest, "POST", "GET", kBadMethod},
      {kDeduplicatedRequest, "POST", "PUT", kBadMethod},
      {kNonIdempotentRequest, "POST", "post", kBadMethod},
      {kIdempotentRequest, "1.1", "1.0", "not HTTP/1.1"},
      {kIdempotentRequest, "Host", "Content-Length: 0\r\nHost", ""},
      {kIdempotentRequest, "first=1\r\n\r\n", "first=1\r\nContent-Length: 1\r\n\r\nx", "a GET has no body"},
      {kNonIdempotentRequest, "Content-Length: 2\r\n\r\nhi", "Content-Length: 0\r\n\r\n", ""},
      {kDeduplicatedRequest, "Idempotency-Key: k1", "X: k1", kBadKey},
      {kDeduplicatedRequest, "k1", "", kBadKey},
      {kDeduplicatedRequest, "k1", "k1, k2", kBadKey},
      {kDeduplicatedRequest, "k1", std::string(129, 'k'), kBadKey},
      {kDeduplicatedRequest, "k1", std::string(128, 'k'), ""},
      {kNonIdempotentRequest, "Host", "Idempotency-Key: k1\r\nHost", kBadKey},
  });
}

TEST_CASE("The path begins with the method's name and leads nowhere else") {
  const char* const request = kIdempotentRequest;
  checkAll({
      {request, "/look/a?b=c", "/look", ""},
      {request, "/look/a?b=c", "/look?b=/../c", ""},
      {request, "/look/a?b=c", "/look/a%20b/%C3%A9", ""},
      {request, "/look/a?b=c", "/looks", kBadPath},
      {request, "/look/a?b=c", "/Look", kBadPath},
      {request, "/look/a?b=c", "/", kBadPath},
      {request, "/look/a?b=c", "//look", kBadPath},
      {request, "/look/a?b=c", "look/a", kBadPath},
      {request, "/look/a?b=c", "*", kBadPath},
      {request, "/look/a?b=c", "http://x/look/a", kBadPath},
      {request, "/look/a?b=c", "/%6cook/a", kBadPath},
      {request, "/look/a?b=c", "/look/./a", kBadPath},
      {request, "/look/a?b=c", "/look/../pay", kBadPath},
      {request, "/look/a?b=c", "/look/%2E%2e/pay", kBadPath},
      {request, "/look/a?b=c", "/look/a%2fb", kBadPath},
      {request, "/look/a?b=c", "/look/a%5cb", kBadPath},
      {request, "/look/a?b=c", "/look\\..\\pay", kBadPath},
      {request, "/look/a?b=c", "/look/a%0a", kBadPath},
      {request, "/look/a?b=c", "/look/a%", kBadPath},
      {request, "/look/a?b=c", "/look/a%2", kBadPath},
      {request, "/look/a?b=c", "/look/a#b", kBadPath},
      {request, "/look/a?b=c", "/look/\x80", kBadPath},
  });
}
