// Case 3: a bad client sends the id of another client's open request; the method must never run twice.
#include <algorithm>
#include <random>

#include "hosts.hpp"
#include "settings.hpp"

using namespace standin;

namespace {

constexpr int kGateways = 3, kHosts = 10, kRounds = 24;
const std::vector<standin::Method> kMethods{{"calendar-read", "free", 600, 2500, 5000},
                                            {"slot-book", "single_shot", 500, 2000, 0}};

struct Run {
  std::string host;
  double from, to;
};

std::mutex runsMutex;
std::map<std::string, std::vector<Run>> runs;  // by Req-Id

/// Each host is a machine of its own: it remembers which ids it has had, and turns away one that it has had.
class Memory {
 public:
  bool isNew(const std::string& host, const std::string& id) {
    const std::lock_guard lock(mutex_);
    return ids_[host].insert(id).second;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::set<std::string>> ids_;  // by host; never compared across hosts
};

}  // namespace

int main(int, char** arguments) {
  Record record(arguments[1]);
  Memory memory;
  const auto answer = [&](Host& host, const Message& message) {
    const std::string id = message.get("Req-Id");
    if (!memory.isNew(host.name(), id)) {
      record("host " + host.name() + ": " + id + " is known here, turned away with 400");
      return response(400, "");
    }
    const double from = now();
    record("host " + host.name() + ": " + id + " begins, " + message.first + " " + message.second);
    thread_local std::mt19937 random(static_cast<unsigned>(randomId()));
    const bool done = host.work(std::uniform_real_distribution<double>(0.059, 0.11)(random));
    if (!done) return kTurnedAway;
    {
      const std::lock_guard lock(runsMutex);
      runs[id].push_back({host.name(), from, now()});
    }
    record("host " + host.name() + ": " + id + " has run");
    return response(200, "booked " + id + " at " + host.name());
  };
  Fleet fleet;
  for (int index = 0; index < kHosts; ++index)
    fleet.push_back(std::make_unique<Host>(format("s-%d", index), 3, 30, answer));
  Discovery discovery(endpointsOf(fleet, 3));
  Counter counter;
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int index = 0; index < kGateways; ++index) {
    gateways.push_back(std::make_unique<Gateway>(
        index, GatewayConfig{discovery.address(), counter.address(), discovery.list(),
                             smallDeployment(kGateways, index, kMethods), 256}));
    gateways.back()->start();
  }
  record("gateways are ready");

  int served = 0, badServed = 0, badErrors = 0;
  std::vector<std::string> ids;
  for (int round = 0; round < kRounds; ++round) {
    const std::uint16_t port = gateways[round % kGateways]->port();
    const Request booking{newId(), "slot-book", newAccount(), "{\"slot\":\"18:00\"}", "", 2000, 1, 3};
    ids.push_back(booking.id);
    const auto usual = Connection::to(port);
    if (!usual || !usual->send(booking.text())) cannotRun("a usual client could not send");
    record(format("usual client at n%d: %s sent", round % kGateways, booking.id.c_str()));
    if (trouble()) {
      sleepFor(0.02);
      const auto bad = Connection::to(port);
      if (!bad || !bad->send(booking.text())) cannotRun("the bad client could not send");
      record(format("bad client at n%d: %s sent while it is open", round % kGateways, booking.id.c_str()));
      Message reply;
      const bool answered = bad->read(reply, 3);
      record("bad client: " + booking.id + " " + (answered ? std::to_string(reply.status()) + " " + reply.body : "closed"));
      ++(answered && reply.status() == 200 ? badServed : badErrors);
    }
    Message reply;
    const bool answered = usual->read(reply, 3);
    record("usual client: " + booking.id + " " + (answered ? std::to_string(reply.status()) + " " + reply.body : "no answer"));
    served += answered && reply.status() == 200;
    sleepFor(0.1);
  }
  for (const auto& gateway : gateways)
    if (gateway->exited()) cannotRun("a gateway ended");

  int twice = 0, together = 0;
  for (const std::string& id : ids) {
    const std::vector<Run>& of = runs[id];
    twice += of.size() > 1;
    together += of.size() > 1 && of[1].from < of[0].to && of[0].from < of[1].to;
  }
  const bool broken = twice > 0 || badServed > 0;
  const std::string verdict =
      format("%s: %d bookings of usual clients, %d answered with 200; %d ran twice, %d of them at two hosts at once; bad client: %d "
             "served with 200, %d errors or closes",
             broken ? "BROKEN" : "held", kRounds, served, twice, together, badServed, badErrors);
  record(verdict);
  std::printf("%s\n", verdict.c_str());
  for (const auto& gateway : gateways) gateway->kill();
  std::fflush(nullptr);
  std::_Exit(broken ? 1 : 0);
}
