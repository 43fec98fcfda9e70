/// \file
/// The size of a buffer that is filled and emptied without a pause.
#include "net/buffer.hpp"

#include <catch2/catch.hpp>

using merlinbridge::net::Buffer;

TEST_CASE("A buffer consumed in small steps does not grow beyond twice what it has to hold") {
  constexpr std::size_t kHeldBytes = 80'000;
  constexpr std::size_t kReadBytes = 2'048;
  constexpr int kRounds = 200'000;
  const std::size_t messageBytes = GENERATE(1u, 37u, 215u, 2'047u);
  Buffer buffer;
  std::size_t largest = 0;
  for (int round = 0; round < kRounds; ++round) {
    if (buffer.size() < kHeldBytes) {
      buffer.reserve(kReadBytes);
      buffer.commit(kReadBytes);
    }
    buffer.consume(messageBytes);
    largest = std::max(largest, buffer.capacity());
  }
  CHECK(largest <= 2 * (kHeldBytes + 2 * kReadBytes));
}

TEST_CASE("A buffer keeps its bytes in order when it moves, grows and shrinks") {
  Buffer buffer;
  unsigned char written = 0;
  unsigned char consumed = 0;
  for (std::size_t step = 1; step < 3'000; ++step) {
    std::string bytes;
    for (std::size_t count = 0; count < step % 97; ++count) bytes += static_cast<char>(written++);
    buffer.append(bytes);
    const std::size_t taken = std::min(buffer.size(), step % (step % 500 < 400 ? 89 : 300));
    for (std::size_t index = 0; index < taken; ++index)
      REQUIRE(static_cast<unsigned char>(buffer.view()[index]) == consumed++);
    buffer.consume(taken);
  }
}
