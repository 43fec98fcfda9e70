#include "config/json_stream_splitter.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using merlinbridge::config::JsonStreamSplitter;

namespace {

constexpr const char* kPlain = R"({"generation":43,"reset":false,"instances":[]})";
constexpr const char* kIndented =
    "{\r\n  \"generation\" : 44,\n\n  \"note\": \"a } \\\" { ] \\\\\",\n  \"instances\": [\n"
    "    { \"cell\": -1.5e+3, \"on\": true, \"off\": null, \"in\": [[], {}, [1, 2]] },\n    {}\n  ]\n}";

/// The objects found in a text that arrives in parts, and the splitter's state after the last part.
struct SplitStream {
  std::vector<std::string> objects;
  bool invalid = false;
  bool insideObject = false;

  explicit SplitStream(const std::vector<std::string>& parts) {
    JsonStreamSplitter splitter;
    std::string buffer;
    for (const std::string& part : parts) {
      buffer += part;
      for (auto end = JsonStreamSplitter::Result::object;
           end == JsonStreamSplitter::Result::object && !invalid;) {
        end = splitter.scan(buffer);
        invalid = end == JsonStreamSplitter::Result::invalid;
        if (end == JsonStreamSplitter::Result::object)
          objects.push_back(
              buffer.substr(splitter.objectStart(), splitter.position() - splitter.objectStart()));
        const std::size_t done = splitter.insideObject() ? splitter.objectStart() : splitter.position();
        buffer.erase(0, done);
        splitter.prefixRemoved(done);
      }
    }
    insideObject = splitter.insideObject();
  }
};

}  // namespace

TEST_CASE("objects on one line or on several are found, wherever the stream is split") {
  const std::string text = std::string("\n\r\n") + kPlain + "\n\n" + kIndented + kPlain + "\n";
  const std::vector<std::string> expected{kPlain, kIndented, kPlain};
  for (std::size_t cut = 0; cut <= text.size(); ++cut)
    CHECK(SplitStream({text.substr(0, cut), text.substr(cut)}).objects == expected);
  std::vector<std::string> bytes;
  for (const char byte : text) bytes.emplace_back(1, byte);
  CHECK(SplitStream(bytes).objects == expected);
}

TEST_CASE("a truncated object is invalid as soon as the next one begins, wherever it was truncated") {
  const std::string whole = kPlain;
  for (std::size_t cut = 1; cut < whole.size(); ++cut) {
    const SplitStream split({whole.substr(0, cut) + "\n", whole + "\n", whole + "\n"});
    // Cut inside an array, the next object is a valid entry of that array; the one after it is not.
    INFO(whole.substr(0, cut));
    CHECK(split.invalid);
    CHECK(split.objects.empty());
  }
}

TEST_CASE("a byte that is not allowed in an object is invalid at once") {
  const std::string text =
      GENERATE(as<std::string>(), "x", "[", "1", "\"", "}", "{]", "{,", "{1", "{:", "{\"a\",", "{\"a\"}",
               "{\"a\"\"", "{\"a\":}", "{\"a\":,", "{\"a\":1 2", "{\"a\":1\"", "{\"a\":1:", "{\"a\":1,}",
               "{\"a\":[1,]", "{\"a\":[}", "{\"a\":{]", "{\"a\n", "{\"a\":T", "{\"a\":[1}", "{{");
  CHECK(SplitStream({text}).invalid);
  const SplitStream deep({"{\"a\":" + std::string(100'000, '[')});
  CHECK(deep.invalid);
}

TEST_CASE("heartbeats between objects belong to no object, and an object that has begun is reported") {
  CHECK_FALSE(SplitStream({"\n", " \r\n"}).insideObject);
  CHECK(SplitStream({"\n{\"a\""}).insideObject);
  CHECK_FALSE(SplitStream({"\n{\"a\"", ":1}"}).insideObject);
}

TEST_CASE("the token count stands still for white space and inside strings and literals") {
  JsonStreamSplitter splitter;
  std::string text;
  const auto countAfter = [&](const std::string& more) {
    text += more;
    splitter.scan(text);
    return splitter.tokenCount();
  };
  CHECK(countAfter("\n\n") == 0);
  CHECK(countAfter("{\"a") == 2);
  CHECK(countAfter("bc\\\"") == 2);
  CHECK(countAfter("\"") == 3);
  CHECK(countAfter(" : 1") == 5);
  CHECK(countAfter("234") == 5);
  CHECK(countAfter("\n \r\t") == 5);
  CHECK(countAfter(",") == 6);
}
