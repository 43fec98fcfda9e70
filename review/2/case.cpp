// Case 2: a bad client names a set that is out of range, in a usual customer's name.
#include <algorithm>
#include <random>

#include "hosts.hpp"

using namespace standin;

namespace {

// The plan storplan, drawn from the ranges of the site file: 43 to 75 units a second, 1.2 to 2.5 s worth of it at
// once, a ceiling of 1.6 to 2.5 times both, a slack of 10% of the ceiling's store or of one largest RPC, whichever
// is more. The fleet of a busy day: 3 to 4 gateways, 12 to 20 hosts with 3 cores, 59 to 110 ms of work.
constexpr double kRate = 43, kBurst = 52, kCeilingRate = 68.8, kCeilingStore = 83, kSlack = 8.3;
constexpr int kGateways = 4, kHosts = 14, kLargest = 8;
// The customer's usual clients: hot_key adds up to 55% of about 240 RPCs a second, for 5.6 to 18 s.
constexpr double kRequestsPerSecond = 130, kSeconds = 8;
constexpr int kSmallestSent = 6;
// The rule on sockets: "its slack widens by what the ceiling's rate gives in 150 ms".
constexpr double kWiderSlack = kSlack + 0.15 * kCeilingRate;
constexpr const char* const kCustomer = "00000000b4d65521";

std::string settings() {
  return format(
             R"({"siblings":%d,"me":0,"step":4000,"failureDomains":["a","b","c"],"machineTypes":["std"],"membershipMode":"automatic",)",
             kGateways) +
         R"("requestClasses":[{"effect":"free","group":"all","hardLimit":2500000,"importance":1.0,"lateWorth":0.0,"name":"calendar-read","promise":600000,"stream":false,"window":5000000}],)"
         R"("clients":{"marksRetry":true},"familyInfo":{"countLimit":80000,"counterPrice":0.02,"hasCounter":true,"largest":8,"peerIntake":0.0,"truedUp":false,"usePeriod":0},)"
         R"("feedback":{"fields":["outstanding","throughput","backlog"],"how":"piggyback"},)"
         R"("limits":{"cancel":true,"connIdle":30000000,"connectTimeout":250000,"maxOpen":20000,"maxRetryAfter":1000000,"mayProbe":true,"peers":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":100,"tryLimit":5},)"
         R"("rules":{"answerSlack":16000,"askEvery":10000000,"cold":16000000,"drainGrace":500000,"fall":3000000,"startCapacity":0.16,"tipMultiple":3.0},)" +
         format(
             R"("tariffs":[{"capDepth":%g,"hardSlack":%g,"name":"storplan","neverOverRate":%g,"open":0,"overCost":1.0,"overWorth":0.0,"price":1.6,"storeSize":%g,"unitsPerS":%g}],"weights":"silent"})",
             kCeilingStore, kSlack, kCeilingRate, kBurst, kRate);
}

struct Draw {
  double at;
  int units;
  std::string id;
};

std::mutex drawsMutex;
std::map<std::string, Draw> draws;  // by Req-Id: its first arrival at a host

std::string request(const std::string& id, const std::string& quota) {
  return "GET /calendar-read/hall?day=1 HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + id +
         "\r\nReq-Kind: calendar-read\r\nPlan: storplan\r\nAccount: " + kCustomer +
         "\r\nReq-Deadline-Ms: 2500\r\nQuota-Info: " + quota + "\r\n\r\n";
}

}  // namespace

int main(int, char** arguments) {
  Record record(arguments[1]);
  const auto answer = [&](Host& host, const Message& message) {
    const std::string id = message.get("Req-Id"), quota = message.get("Quota-Info");
    const long units = parameter(quota, "units"), spread = parameter(quota, "spread");
    const bool usable = units >= 1 && units <= kLargest && spread >= 2 && spread <= kGateways;
    record("host " + host.name() + ": " + id + " " + quota + (usable ? "" : " turned away with 400"));
    if (!usable) return response(400, "");
    {
      const std::lock_guard lock(drawsMutex);
      draws.emplace(id, Draw{now(), static_cast<int>(units), id});
    }
    thread_local std::mt19937 random(static_cast<unsigned>(randomId()));
    if (!host.work(std::uniform_real_distribution<double>(0.059, 0.11)(random))) return kTurnedAway;
    return response(200, "hall of " + id);
  };
  Fleet fleet;
  for (int index = 0; index < kHosts; ++index)
    fleet.push_back(std::make_unique<Host>(format("s-%d", index), 3, 30, answer));
  Discovery discovery(endpointsOf(fleet, 3));
  Counter counter;
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int index = 0; index < kGateways; ++index) {
    std::string own = settings();
    own.replace(own.find("\"me\":0"), 6, format("\"me\":%d", index));
    gateways.push_back(std::make_unique<Gateway>(
        index, GatewayConfig{discovery.address(), counter.address(), discovery.list(), own, 256}));
    gateways.back()->start();
  }
  record("gateways are ready");

  // One request of a bad client at each gateway. The usual client does the same with its true set.
  for (int index = 0; index < kGateways; ++index) {
    const std::string id = format("%016llx", static_cast<unsigned long long>(randomId()));
    const std::string quota = trouble() ? "units=1,spread=0,first=0" : "units=1,spread=4,first=0";
    const auto connection = Connection::to(gateways[index]->port());
    Message reply;
    if (!connection || !connection->send(request(id, quota)) || !connection->read(reply, 5))
      cannotRun("the first request had no answer");
    record(format("%s client at n%d: %s %s: %d", trouble() ? "bad" : "usual", index, id.c_str(), quota.c_str(),
                  reply.status()));
  }
  sleepFor(1);
  const double begin = now();

  // The customer's usual clients, over the gateways of its set.
  std::atomic<int> served{0}, refused{0}, other{0};
  std::vector<std::thread> clients;
  constexpr int kWorkers = 30;
  const double rate = kRequestsPerSecond / (kGateways * kWorkers);
  for (int index = 0; index < kGateways * kWorkers; ++index)
    clients.emplace_back([&, index] {
      std::mt19937 random(static_cast<unsigned>(randomId()));
      std::exponential_distribution<double> pause(rate);
      std::uniform_int_distribution<int> size(kSmallestSent, kLargest);
      const int gateway = index % kGateways;
      auto connection = Connection::to(gateways[gateway]->port());
      for (double at = begin + pause(random); at < begin + kSeconds; at += pause(random)) {
        sleepUntil(at);
        const std::string id = format("%016llx", static_cast<unsigned long long>(randomId()));
        const std::string quota = format("units=%d,spread=4,first=0", size(random));
        Message reply;
        if (!connection) connection = Connection::to(gateways[gateway]->port());
        if (!connection || !connection->send(request(id, quota)) || !connection->read(reply, 4)) {
          connection.reset();
          ++other;
          record("client at n" + std::to_string(gateway) + ": " + id + " no answer");
          continue;
        }
        ++(reply.status() == 200 ? served : reply.status() == 429 ? refused : other);
        record(format("client at n%d: %s %s: %d", gateway, id.c_str(), quota.c_str(), reply.status()));
      }
    });
  for (std::thread& client : clients) client.join();
  for (const auto& gateway : gateways)
    if (gateway->exited()) cannotRun("a gateway ended");

  // The rule: the second store of the customer, which all gateways share.
  std::vector<Draw> inOrder;
  for (const auto& [id, draw] : draws) inOrder.push_back(draw);
  std::sort(inOrder.begin(), inOrder.end(), [](const Draw& a, const Draw& b) { return a.at < b.at; });
  double level = kCeilingStore, last = 0, lowest = level, lowestAt = 0, drawn = 0;
  for (const Draw& draw : inOrder) {
    level = std::min(kCeilingStore, level + kCeilingRate * (draw.at - last)) - draw.units;
    last = draw.at;
    drawn += draw.units;
    if (level < lowest) lowest = level, lowestAt = draw.at;
  }
  const bool broken = lowest < -kWiderSlack;
  const std::string verdict =
      format("%s: %.0f units in %zu requests sent on within %.1f s, 200: %d, 429: %d, other: %d; store of the ceiling at lowest %.1f "
             "units at %.3f s, allowed %.1f; counter: %llu calls, %llu unanswered",
             broken ? "BROKEN" : "held", drawn, inOrder.size(), last - begin, served.load(), refused.load(),
             other.load(), lowest, lowestAt, -kWiderSlack, static_cast<unsigned long long>(counter.calls()),
             static_cast<unsigned long long>(counter.unanswered()));
  record(verdict);
  std::printf("%s\n", verdict.c_str());
  for (const auto& gateway : gateways) gateway->kill();
  std::fflush(nullptr);
  std::_Exit(broken ? 1 : 0);
}
