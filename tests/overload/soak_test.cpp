/// \file
/// Runs drawn from a seed: usual clients beside misbehaving ones, a crowd in some, hosts that restart,
/// signals in series, and SIGKILL as early as it may come. MERLINBRIDGE_SOAK_SEEDS="FIRST COUNT" chooses the
/// seeds.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <random>

#include "overloaded_gateway.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kUsualClients = 8;
constexpr std::size_t kCrowd = 480;
constexpr int kFloodKinds = 6;
// SIGKILL comes no earlier after SIGTERM than the longest deadline of the test's configuration and 0.7 s.
constexpr Duration kKilledAfter = 2700ms;

std::pair<unsigned, unsigned> seedRange() {
  std::pair<unsigned, unsigned> range{1, 8};
  if (const char* const text = std::getenv("MERLINBRIDGE_SOAK_SEEDS"))
    std::istringstream(text) >> range.first >> range.second;
  return range;
}

std::string blockOf(const std::function<std::string()>& make, int count) {
  std::string block;
  for (int number = 0; number < count; ++number) block += make();
  return block;
}

std::string floodOf(unsigned kind) {
  switch (kind) {
    case 0:
      return blockOf([] { return std::string(kReadyProbe); }, 1000);
    case 1:
      return blockOf([] { return replaceOnce(clientRequest("look"), "Req-Kind: look", "Req-Kind: none"); },
                     300);
    case 2:
      return blockOf([] { return meteredRequest(3); }, 300);
    case 3:
      return blockOf([] { return clientRequest("look"); }, 300);
    case 4:
      return "no request line\r\n\r\n";
    default:
      return replaceOnce(clientRequest("pay", std::string(60'000, 'x')), "60000",
                         "65536");  // stops before its end
  }
}

/// One run. The draws depend on the seed alone.
class SoakRun {
 public:
  explicit SoakRun(unsigned seed) : random_(seed), gateway_(std::chrono::milliseconds(2 + below(40))) {}

  void play() {
    const unsigned floods = below(3);
    const bool hasCrowd = below(3) == 0;
    UsualClients usual(gateway_.program.listenPort, kUsualClients);
    std::vector<std::unique_ptr<FloodingClients>> misbehaving;
    for (unsigned number = 0; number < floods; ++number) startFlood(misbehaving, 1 + below(6));
    if (hasCrowd) startFlood(misbehaving, kCrowd);
    watchFor(std::chrono::milliseconds(300 + below(700)));
    announceRestart();
    watchFor(std::chrono::milliseconds(300 + below(700)));
    shutDown(usual);
    misbehaving.clear();
    check(usual.finish());
  }

 private:
  unsigned below(unsigned limit) { return static_cast<unsigned>(random_() % limit); }

  void startFlood(std::vector<std::unique_ptr<FloodingClients>>& flooding, std::size_t count) {
    const unsigned kind = below(kFloodKinds);
    const Answers answers = below(2) == 0 ? Answers::read : Answers::ignored;
    flooding.push_back(std::make_unique<FloodingClients>(gateway_.program.listenPort, count, answers,
                                                         [kind] { return floodOf(kind); }));
  }

  void watchFor(Duration span) {
    if (!watch_ && gateway_.program.discovery.accept(watch_)) watch_->send(kOkHead);
    if (watch_) watch_->send("\n");
    std::this_thread::sleep_for(span);
  }

  void announceRestart() {
    if (!watch_ || below(2) == 0) return;
    restartedAt_ = std::chrono::steady_clock::now();
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    watch_->send(
        endpointListJson(42, gateway_.hosts.endpoints(std::to_string(milliseconds)), "\"reset\":true,") +
        "\n");
  }

  void shutDown(UsualClients& usual) {
    for (unsigned count = below(3); count > 0; --count) gateway_.program.signal(SIGHUP);
    peakKilobytes_ = gateway_.program.peakResidentKilobytes();
    usual.expectShutdown();
    gateway_.program.signal(SIGTERM);
    const SteadyTime signalledAt = std::chrono::steady_clock::now();
    for (unsigned count = below(3); count > 0; --count) {
      std::this_thread::sleep_for(std::chrono::milliseconds(below(300)));
      gateway_.program.signal(below(2) == 0 ? SIGHUP : SIGTERM);
    }
    within([&] { return !gateway_.program.isRunning(); });
    exitTook_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - signalledAt);
  }

  void check(const UsualAnswers& answers) {
    INFO("served " << answers.served << ", refused " << answers.refused << ", failed " << answers.failed
                   << ", late " << answers.late << ", lost " << answers.lost << ", crossed "
                   << answers.crossed << ", peak " << peakKilobytes_ << " kB, exit after "
                   << exitTook_.count() << " ms");
    CHECK(exitTook_ < kKilledAfter);
    CHECK(gateway_.program.exitStatus() == 0);
    CHECK(peakKilobytes_ <= kMemoryMegabytes * kKilobytesPerMegabyte);
    CHECK(answers.lost == 0);
    CHECK(answers.served > 0);
    CHECK(gateway_.program.log().find("event_loop_stalled") == std::string::npos);
    checkHosts();
  }

  // No request reaches a host twice but idempotent ones, and none the old process of a host that was
  // announced anew.
  void checkHosts() {
    std::map<std::string, int> runs;
    std::size_t atOldProcess = 0;
    for (const ReceivedRequest& request : gateway_.hosts.received()) {
      if (request.head.starts_with("POST")) ++runs[request.id];
      const bool isLate = restartedAt_ && request.firstByteAt > *restartedAt_ + 50ms;
      atOldProcess += request.host == 0 && isLate && request.connectedAt < *restartedAt_;
    }
    CHECK(std::all_of(runs.begin(), runs.end(), [](const auto& entry) { return entry.second == 1; }));
    CHECK(atOldProcess == 0);
  }

  std::ranlux24_base random_;
  OverloadedGateway gateway_;
  std::optional<TestPeer> watch_;
  std::optional<SteadyTime> restartedAt_;
  std::size_t peakKilobytes_ = 0;
  std::chrono::milliseconds exitTook_{};  ///< From SIGTERM.
};

}  // namespace

TEST_CASE("Soak: rules and limits hold beside misbehaving clients until the kill") {
  const auto [first, count] = seedRange();
  for (unsigned seed = first; seed < first + count; ++seed) {
    INFO("seed " << seed);
    SoakRun(seed).play();
  }
}
