// A client sends many requests at once on one connection: each is owed its final answer in its own time.
#include "../common-2/deployments.hpp"

using namespace review;

namespace {

constexpr int kRequests = 30;
constexpr int kRounds = 4;
constexpr int kDeadlineMs = 1000;  // half of slot-book's deadline; "a try is given up after 50 to 100% of it"
constexpr double kLateMs = 500;    // "up to half a second after its time it only earns nothing"
constexpr double kSocketsMs = 50;  // "every time limit is 50 ms longer"
constexpr double kWorkMs = 85;     // calendar-read: 59 to 110 ms

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  std::mutex mutex;
  std::map<std::string, double> sentAt;
  int toldTooMuch = 0;
  const auto handle = [&](Socket& socket, const Message& request) {
    const std::string id = request.field("req-id");
    const double told = std::atof(request.field("req-deadline-ms").c_str());
    {
      const std::lock_guard lock(mutex);
      const double left = sentAt[id] + kDeadlineMs - now();
      note("host: " + id + text(" arrives, %.0f ms left to its client, told %.0f ms", left, told));
      if (told > left + 150 + kSocketsMs) ++toldTooMuch;
    }
    sleepMs(kWorkMs);
    return socket.send(response(200, "made for " + id));
  };
  Host first(handle), second(handle), third(handle), fourth(handle);
  Discovery discovery;
  discovery.publish({{"s-1", first.address()}, {"s-2", second.address()}, {"s-3", third.address()}, {"s-4", fourth.address()}});
  Counter counter;
  Deployment deployment;
  deployment.classes = kCalendarRead + "," + kSlotBook;
  deployment.plans = kWidePlan;
  Gateway gateway(arguments, "n0");
  gateway.configure(discovery.address(), counter.address(), discovery.wholeList(), deployment.str(), kLimits);
  gateway.start();
  sleepMs(500);

  int lost = 0;
  double latest = 0;
  for (int round = 0; round < kRounds; ++round) {
    Socket client = Socket::connectTo(gateway.port());
    std::vector<std::string> ids;
    std::string bytes;
    for (int index = 0; index < kRequests; ++index) {
      RequestLine request;
      request.kind = "calendar-read";
      request.plan = "storplan";
      request.deadlineMs = kDeadlineMs;
      ids.push_back(request.id);
      bytes += request.str();
      if (arguments.trouble && index + 1 < kRequests) continue;
      if (!arguments.trouble) {
        {
          const std::lock_guard lock(mutex);
          sentAt[request.id] = now();
        }
        client.send(request.str());
        Message answer;
        if (readMessage(client, now() + 5000, answer) != ReadResult::message) cannotRun("no answer");
        const std::lock_guard lock(mutex);
        const double late = now() - sentAt[request.id] - kDeadlineMs;
        note("client: " + request.id + text(" answered %d, %.0f ms after its time", answer.status(), late));
        latest = std::max(latest, late);
        if (late > kLateMs + kSocketsMs) ++lost;
      }
    }
    if (!arguments.trouble) continue;
    const double at = now();
    {
      const std::lock_guard lock(mutex);
      for (const std::string& id : ids) sentAt[id] = at;
    }
    client.send(bytes);
    note(text("client: %d requests written at once", kRequests));
    for (const std::string& id : ids) {
      Message answer;
      if (readMessage(client, at + 20000, answer) != ReadResult::message) {
        note("client: the connection ended; the rest is sent again by its client and isn't counted");
        break;
      }
      const double late = now() - at - kDeadlineMs;
      latest = std::max(latest, late);
      const bool isLost = late > kLateMs + kSocketsMs;
      note("client: " + id + text(" answered %d, %.0f ms after its time%s", answer.status(), late, isLost ? ": lost" : ""));
      if (isLost) ++lost;
    }
  }
  finish(lost > 0, text("%d of %d requests had their final answer more than %.0f ms after their time, the latest %.0f ms; "
                        "hosts were told too long a time %d times",
                        lost, kRounds * kRequests, kLateMs + kSocketsMs, latest, toldTooMuch));
}
