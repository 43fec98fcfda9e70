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

/// The objects of a text that comes in parts, and the state of the splitter after it.
struct Read {
  std::vector<std::string> objects;
  bool bad = false;
  bool begun = false;

  explicit Read(const std::vector<std::string>& parts) {
    JsonStreamSplitter splitter;
    std::string held;
    for (const std::string& part : parts) {
      held += part;
      for (auto end = JsonStreamSplitter::Result::object;
           end == JsonStreamSplitter::Result::object && !bad;) {
        end = splitter.scan(held);
        bad = end == JsonStreamSplitter::Result::invalid;
        if (end == JsonStreamSplitter::Result::object)
          objects.push_back(
              held.substr(splitter.objectStart(), splitter.position() - splitter.objectStart()));
        const std::size_t done = splitter.insideObject() ? splitter.objectStart() : splitter.position();
        held.erase(0, done);
        splitter.prefixRemoved(done);
      }
    }
    begun = splitter.insideObject();
  }
};

}  // namespace

TEST_CASE("objects are found wherever the stream is cut, on lines of their own or indented") {
  const std::string text = std::string("\n\r\n") + kPlain + "\n\n" + kIndented + kPlain + "\n";
  const std::vector<std::string> wanted{kPlain, kIndented, kPlain};
  for (std::size_t cut = 0; cut <= text.size(); ++cut)
    CHECK(Read({text.substr(0, cut), text.substr(cut)}).objects == wanted);
  std::vector<std::string> bytes;
  for (const char byte : text) bytes.emplace_back(1, byte);
  CHECK(Read(bytes).objects == wanted);
}

TEST_CASE("an object that is cut short is bad as soon as the next one begins, wherever it was cut") {
  const std::string whole = kPlain;
  for (std::size_t cut = 1; cut < whole.size(); ++cut) {
    const Read read({whole.substr(0, cut) + "\n", whole + "\n", whole + "\n"});
    // In an array, the next list could be one more entry; what follows it could not.
    INFO(whole.substr(0, cut));
    CHECK(read.bad);
    CHECK(read.objects.empty());
  }
}

TEST_CASE("a byte that cannot stand in an object is bad at once") {
  const std::string text =
      GENERATE(as<std::string>(), "x", "[", "1", "\"", "}", "{]", "{,", "{1", "{:", "{\"a\",", "{\"a\"}",
               "{\"a\"\"", "{\"a\":}", "{\"a\":,", "{\"a\":1 2", "{\"a\":1\"", "{\"a\":1:", "{\"a\":1,}",
               "{\"a\":[1,]", "{\"a\":[}", "{\"a\":{]", "{\"a\n", "{\"a\":T", "{\"a\":[1}", "{{");
  CHECK(Read({text}).bad);
  const Read deep({"{\"a\":" + std::string(100'000, '[')});
  CHECK(deep.bad);
}

TEST_CASE("heartbeats between objects belong to none, and an object that has begun is reported as such") {
  CHECK_FALSE(Read({"\n", " \r\n"}).begun);
  CHECK(Read({"\n{\"a\""}).begun);
  CHECK_FALSE(Read({"\n{\"a\"", ":1}"}).begun);
}
