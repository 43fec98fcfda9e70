#include "net/upstream/upstream_outcome.hpp"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <string_view>

using namespace merlinbridge;

namespace {

// A complete response with these header fields, and the buffer that it points into.
class ParsedResponse {
 public:
  ParsedResponse(const std::string& status, const std::string& fields)
      : text_("HTTP/1.1 " + status + " x\r\n" + fields + "Content-Length: 4\r\n\r\nbody") {
    REQUIRE(message_.advance(text_.data(), text_.size()) == http::Message::Stage::done);
  }
  const http::Message& message() const { return message_; }

 private:
  std::string text_;
  http::Message message_{http::Message::Kind::response};
};

Outcome outcome(const std::string& status, const std::string& fields = "") {
  return net::outcomeOf(ParsedResponse(status, fields).message());
}

}  // namespace

TEST_CASE("a status of 200 is ok, whatever the header fields") {
  CHECK(outcome("200") == Outcome::ok);
  CHECK(outcome("200", "Srv-Declined: 1\r\n") == Outcome::ok);
}

TEST_CASE("only a 503 or 504 with Srv-Declined set to 1 is a rejection") {
  const std::string status = GENERATE("503", "504");
  CHECK(outcome(status, "Srv-Declined: 1\r\n") == Outcome::rejected);
  CHECK(outcome(status) == Outcome::error);
  CHECK(outcome(status, "Srv-Declined: 0\r\n") == Outcome::error);
  CHECK(outcome("500", "Srv-Declined: 1\r\n") == Outcome::error);
}

TEST_CASE("every other status is an error") {
  const std::string status = GENERATE("201", "204", "301", "400", "404", "429", "500", "502");
  CHECK(outcome(status) == Outcome::error);
}

TEST_CASE("a response's body, content type and billed units are read") {
  const ParsedResponse parsed("200", "content-type: t/x\r\nBilled-Units: 2.5\r\n");
  const core::UpstreamResponse response = net::readUpstreamResponse(parsed.message());
  CHECK(response.body == "body");
  CHECK(response.contentType == "t/x");
  CHECK(response.trueUnits == 2.5);
  CHECK_FALSE(response.load.inFlight.has_value());
}

TEST_CASE("billed units that are not a finite number count as none") {
  const std::string units = GENERATE("", "abc", "inf", "nan", "-inf");
  const ParsedResponse parsed("200", "Billed-Units: " + units + "\r\n");
  CHECK(net::readUpstreamResponse(parsed.message()).trueUnits == 0);
}

TEST_CASE("the values of a load report are read; unknown names and words without a value are ignored") {
  const ParsedResponse parsed("200", "Srv-Load: inflight=3,new_figure=7,,bare,latency_ms=250,util=0.5\r\n");
  const LoadReport load = net::readUpstreamResponse(parsed.message()).load;
  CHECK(load.inFlight == 3.0);
  CHECK(load.serviceSeconds == 0.25);
  CHECK(load.utilization == 0.5);
  CHECK_FALSE(load.queued.has_value());
  CHECK_FALSE(load.responsesPerSecond.has_value());
}

TEST_CASE("two load report fields are merged, and the later value of a name is used") {
  const ParsedResponse parsed("200", "Srv-Load: inflight=3,queue=1\r\nSrv-Load: inflight=4\r\n");
  const LoadReport load = net::readUpstreamResponse(parsed.message()).load;
  CHECK(load.inFlight == 4.0);
  CHECK(load.queued == 1.0);
}

TEST_CASE("every outcome has a name of its own in the log") {
  std::set<std::string_view> names;
  const auto outcomes = {Outcome::ok,           Outcome::error, Outcome::rejected,  Outcome::noResponse,
                         Outcome::noConnection, Outcome::lost,  Outcome::cancelled, Outcome::notSent};
  for (const Outcome each : outcomes) names.insert(net::nameOf(each));
  CHECK(names.size() == outcomes.size());
  CHECK_FALSE(names.contains("unknown"));
}
