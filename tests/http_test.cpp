#include <catch2/catch.hpp>

#include "http/message.hpp"
#include "support/gateway_under_test.hpp"
#include "support/simulated_fleet.hpp"

using namespace merlinbridge;
using http::Message;
using Kind = Message::Kind;
using Stage = Message::Stage;

namespace {

const std::string kPostRequest =
    "POST /book?x=1 HTTP/1.1\r\nHost: h\r\nReq-Id:  ab \r\nContent-Length: 5\r\n\r\nhello";
const std::string kChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nX: y\r\n\r\n";
const std::string kInterimResponse =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

// What the parser reports at the end.
struct ParseResult {
  Stage stage = Stage::head;
  int errorStatus = 0;
  std::size_t size = 0;
  std::string method;
  std::string target;
  std::string requestId;
  std::string body;
};

// Reads a text that arrives in parts, which end at the given offsets. The buffer moves after each part.
ParseResult read(Kind kind, const std::string& text, const std::vector<std::size_t>& ends) {
  Message message(kind);
  std::string bytes;
  std::string moved;
  for (const std::size_t end : ends) {
    bytes += text.substr(std::min(bytes.size(), text.size()), end - bytes.size());
    message.advance(bytes.data(), bytes.size());
    if (message.stage() == Stage::done || message.stage() == Stage::invalid) break;
    moved = bytes;
    bytes.swap(moved);
    moved.assign(moved.size(), '#');
  }
  if (message.stage() != Stage::done) return {message.stage(), message.errorStatus(), 0, {}, {}, {}, {}};
  return {Stage::done,
          0,
          message.size(),
          std::string(message.method()),
          std::string(message.target()),
          std::string(message.get("req-id")),
          std::string(message.body())};
}

}  // namespace

TEST_CASE("a message is read the same wherever the buffer is split") {
  const auto [kind, text] = GENERATE(table<Kind, std::string>({{Kind::request, kPostRequest},
                                                               {Kind::request, "\r\n" + kPostRequest},
                                                               {Kind::response, kChunkedResponse},
                                                               {Kind::response, kInterimResponse}}));
  const std::string withNext = text + "GET";  // bytes of the next message
  for (std::size_t first = 0; first <= text.size(); ++first)
    for (std::size_t second = first; second <= text.size(); ++second) {
      const ParseResult got = read(kind, withNext, {first, second, withNext.size()});
      REQUIRE(got.stage == Stage::done);
      REQUIRE(got.size == text.size());
      REQUIRE(got.body == "hello");
      if (kind == Kind::request) REQUIRE((got.method + got.target + got.requestId) == "POST/book?x=1ab");
    }
  std::vector<std::size_t> everyByte;
  for (std::size_t end = 1; end <= withNext.size(); ++end) everyByte.push_back(end);
  CHECK(read(kind, withNext, everyByte).body == "hello");
}

TEST_CASE("a malformed message is rejected with its status code, wherever the buffer is split") {
  const std::string line = "GET / HTTP/1.1\r\n";
  const std::string chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
  const auto [text, status] = GENERATE_COPY(table<std::string, int>({
      {line + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400},
      {line + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {line + "Transfer-Encoding: gzip\r\n\r\n", 400},
      {line + "Content-Length: +5\r\n\r\n", 400},
      {line + "Content-Length: -1\r\n\r\n", 400},
      {line + "Content-Length: 99999999999999999999999\r\n\r\n", 413},
      {line + "Content-Length: 65537\r\n\r\n", 413},
      {line + "Name : v\r\n\r\n", 400},
      {line + " folded\r\n\r\n", 400},
      {line + "N: a\nM: b\r\n\r\n", 400},
      {line + "N: a\rM: b\r\n\r\n", 400},
      {line + "no colon\r\n\r\n", 400},
      {"GET  / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/2.0\r\n\r\n", 400},
      {"GET /\r\n\r\n", 400},
      {"G@T / HTTP/1.1\r\n\r\n", 400},
      {"GET /\x01 HTTP/1.1\r\n\r\n", 400},
      {"\r\n\r\n\r\n \r\n\r\n", 400},
      {line + "N: " + std::string(20'000, 'x'), 431},
      {chunked + "x\r\n", 400},
      {chunked + "\r\n", 400},
      {chunked + "3\r\nabcd\r\n", 400},
      {chunked + "3\nabc", 400},
      {chunked + "1000000000000000\r\n", 400},
      {chunked + "3;a\nb", 400},
      {chunked + "3;" + std::string(20'000, 'a'), 400},
      {chunked + "0\r\nT: " + std::string(20'000, 'a'), 400},
      {chunked + "10001\r\n" + std::string(65'537, 'x'), 413},
  }));
  INFO(text.substr(0, 80));
  const std::size_t step = std::max<std::size_t>(1, text.size() / 200);
  for (std::size_t at = 0; at <= text.size(); at += step) {
    const ParseResult got = read(Kind::request, text, {at, text.size()});
    REQUIRE(got.stage == (Stage::invalid));
    REQUIRE(got.errorStatus == status);
  }
}

TEST_CASE("too many header fields and too much chunk framing around a short body are rejected") {
  std::string manyFields = "GET / HTTP/1.1\r\n";
  std::string muchFraming = "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int count = 0; count < 200; ++count) manyFields += "a: b\r\n";
  CHECK(read(Kind::request, manyFields + "\r\n", {manyFields.size() + 2}).errorStatus == 431);
  for (int count = 0; count < 20; ++count) muchFraming += "1;" + std::string(10'000, 'e') + "\r\nx\r\n";
  CHECK(read(Kind::request, muchFraming, {muchFraming.size()}).errorStatus == 413);
}

TEST_CASE("a message with random bytes is read the same in one part as in two") {
  const auto seed = GENERATE(range(0u, 60u));
  std::ranlux24_base random(seed);
  const std::string base = seed % 2 ? kPostRequest : kChunkedResponse;
  for (int round = 0; round < 200; ++round) {
    std::string text = base;
    for (int count = 0; count < 3; ++count) text[random() % text.size()] = static_cast<char>(random());
    const Kind kind = seed % 2 ? Kind::request : Kind::response;
    const std::size_t at = random() % text.size();
    const ParseResult whole = read(kind, text, {text.size()});
    const ParseResult split = read(kind, text, {at, text.size()});
    REQUIRE(whole.stage == split.stage);
    REQUIRE(whole.errorStatus == split.errorStatus);
    REQUIRE(whole.body == split.body);
  }
}

TEST_CASE("a response without a stated length ends with its connection") {
  std::string text = "HTTP/1.1 200 OK\r\n\r\nhel";
  Message message(Kind::response);
  CHECK(message.advance(text.data(), text.size()) == Stage::body);
  CHECK(message.peerClosed() == Stage::done);
  CHECK(message.body() == "hel");
  CHECK_FALSE(message.keepsAlive());
  std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel";
  Message other(Kind::response);
  other.advance(cut.data(), cut.size());
  CHECK(other.peerClosed() == Stage::body);
}

TEST_CASE("the version and the Connection field decide whether the connection is kept alive") {
  const auto [text, keepsAlive] = GENERATE(table<std::string, bool>({
      {"GET / HTTP/1.1\r\n\r\n", true},
      {"GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n", false},
      {"GET / HTTP/1.0\r\n\r\n", false},
      {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", true},
  }));
  std::string bytes = text;
  Message message(Kind::request);
  CHECK(message.advance(bytes.data(), bytes.size()) == Stage::done);
  CHECK(message.keepsAlive() == keepsAlive);
}

TEST_CASE("Buffer holds the expected bytes after appends, moves and removals") {
  net::Buffer buffer;
  std::string model;
  std::ranlux24_base random(7);
  for (int step = 0; step < 5000; ++step) {
    const std::string added(random() % 700, static_cast<char>('a' + step % 26));
    buffer.append(added);
    model += added;
    const std::size_t removed = random() % (model.size() + 1);
    if (step % 3 == 0) {
      buffer.erase(removed / 2, removed);
      model.erase(removed / 2, removed - removed / 2);
    } else {
      buffer.consume(removed);
      model.erase(0, removed);
    }
    REQUIRE(buffer.view() == model);
  }
}
