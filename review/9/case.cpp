// Discovery answers slowly; a host begins to drain. The gateway has to learn of it and to stop sending there.
#include "../common-2/deployments.hpp"

using namespace review;

namespace {

constexpr double kListTakesMs = 3000;   // half of the 6 s after which a change counts as told whatever happens
constexpr double kToldAtLatestMs = 6000;
constexpr double kGraceMs = 500;
constexpr double kSocketsMs = 50;

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  std::mutex mutex;
  std::vector<double> arrivals;  // at the host that drains
  const auto handle = [&](const std::string& name) {
    return [&, name](Socket& socket, const Message& request) {
      if (name == "s-2") {
        const std::lock_guard lock(mutex);
        arrivals.push_back(now());
      }
      sleepMs(30);
      return socket.send(response(200, "made for " + request.field("req-id")));
    };
  };
  Host first(handle("s-1")), second(handle("s-2")), third(handle("s-3")), fourth(handle("s-4"));
  Discovery discovery;
  discovery.publish({{"s-1", first.address()}, {"s-2", second.address()}, {"s-3", third.address()}, {"s-4", fourth.address()}});
  Counter counter;
  Deployment deployment;
  deployment.classes = kCalendarRead + "," + kSlotBook;
  deployment.plans = kWidePlan;
  Gateway gateway(arguments, "n0");
  gateway.configure(discovery.address(), counter.address(), discovery.wholeList(), deployment.str(), kLimits);
  gateway.start();

  std::atomic<bool> done{false};
  std::vector<std::thread> clients;
  for (int index = 0; index < 4; ++index)
    clients.emplace_back([&] {
      Socket client;
      while (!done) {
        RequestLine request;
        request.kind = "calendar-read";
        request.plan = "storplan";
        if (!client.isOpen()) client = Socket::connectTo(gateway.port());
        client.send(request.str());
        Message answer;
        if (readMessage(client, now() + 3000, answer) != ReadResult::message) client.close();
        sleepMs(100);
      }
    });
  sleepMs(3000);
  if (arguments.trouble) discovery.setSlow(kListTakesMs);
  note("all open watches are reset");
  discovery.resetWatches();
  sleepMs(6000);
  const double drainAt = now();
  discovery.publish(Instance{"s-2", second.address(), "a", 0, "terminating"});
  note("s-2 begins to drain; discovery has it");
  const double boundAt = drainAt + kToldAtLatestMs + kGraceMs + kSocketsMs;
  sleepUntil(boundAt + 6000);
  done = true;
  for (std::thread& client : clients) client.join();
  int late = 0;
  double last = 0;
  const std::lock_guard lock(mutex);
  for (const double at : arrivals) {
    last = std::max(last, at - drainAt);
    if (at > boundAt) ++late;
  }
  finish(late > 0, text("%d requests reached the draining host more than %.0f ms after discovery had it, the last %.0f ms after; "
                        "discovery was called %d times",
                        late, kToldAtLatestMs + kGraceMs + kSocketsMs, last, discovery.calls()));
}
