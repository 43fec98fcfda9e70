// Clients stop in the middle of a request and stay. The requests of the usual clients still have to get their answers.
#include "../common-2/deployments.hpp"

using namespace review;

namespace {

constexpr int kStoppers = 200;
constexpr double kStayMs = 300;      // after its error and the end of the stream, before such a client closes its side
constexpr int kUsual = 8;
constexpr int kDeadlineMs = 1250;    // half of calendar-read's deadline; "a try is given up after 50 to 100%" of it
constexpr double kLateMs = 500;      // "up to half a second after its time it only earns nothing"
constexpr double kSocketsMs = 50;    // "every time limit is 50 ms longer"
constexpr double kRunMs = 15000;
constexpr double kWorkMs = 30;

/// A client that sends half a request, stays, reads what it is sent, and begins again when it has been turned away.
class Stopper {
 public:
  explicit Stopper(std::uint16_t port) : port_(port) {}
  pollfd wanted() {
    if (socket_.isOpen() && toldAt_ > 0) {
      if (now() < toldAt_ + kStayMs) return {-1, 0, 0};
      socket_.close();
      ++turnedAway_;
    }
    if (!socket_.isOpen()) connect();
    return {socket_.fd(), static_cast<short>(hasSent_ ? POLLIN : POLLOUT), 0};
  }
  void handle(short events) {
    if (events == 0) return;
    if (!hasSent_) {
      const std::string whole = "GET /calendar-read HTTP/1.1\r\nHost: api.internal\r\nReq-Id: 00000000000000aa\r\nReq-Kind: calendar-read\r\n\r\n";
      hasSent_ = ::send(socket_.fd(), whole.data(), whole.size() / 2, MSG_NOSIGNAL) > 0;
      if (!hasSent_) socket_.close();
      return;
    }
    char bytes[4096];
    const ssize_t count = ::recv(socket_.fd(), bytes, sizeof bytes, 0);
    if (count > 0 || (count < 0 && errno == EAGAIN)) return;
    toldAt_ = now();
  }
  int turnedAway() const { return turnedAway_; }

 private:
  void connect() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port_);
    if (fd >= 0) static_cast<void>(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    socket_ = Socket(fd);
    hasSent_ = false;
    toldAt_ = 0;
  }
  std::uint16_t port_;
  Socket socket_;
  bool hasSent_ = false;
  double toldAt_ = 0;
  int turnedAway_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  std::mutex mutex;
  std::map<std::string, double> sentAt;
  int late = 0;
  const auto handle = [&](Socket& socket, const Message& request) {
    const std::string id = request.field("req-id");
    {
      const std::lock_guard lock(mutex);
      const double left = sentAt[id] + kDeadlineMs - now();
      const double told = std::atof(request.field("req-deadline-ms").c_str());
      note("host: " + id + text(" arrives, %.0f ms left to its client, told %.0f ms", left, told));
      if (left < 0) ++late;
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
  gateway.configure(discovery.address(), counter.address(), discovery.wholeList(), deployment.str(),
                    R"({"cores":1.0,"memory_mb":64,"sockets":256})");
  gateway.start();

  std::atomic<bool> done{false};
  std::atomic<int> turnedAway{0};
  std::thread others([&] {
    std::vector<Stopper> stoppers;
    for (int index = 0; arguments.trouble && index < kStoppers; ++index) stoppers.emplace_back(gateway.port());
    while (!done) {
      std::vector<pollfd> wanted;
      for (Stopper& stopper : stoppers) wanted.push_back(stopper.wanted());
      ::poll(wanted.data(), wanted.size(), 50);
      for (std::size_t index = 0; index < stoppers.size(); ++index) stoppers[index].handle(wanted[index].revents);
    }
    for (const Stopper& stopper : stoppers) turnedAway += stopper.turnedAway();
  });
  sleepMs(500);

  std::atomic<int> requests{0}, served{0}, lost{0}, closed{0};
  std::vector<std::thread> clients;
  const double until = now() + kRunMs;
  for (int index = 0; index < kUsual; ++index)
    clients.emplace_back([&] {
      Socket client;
      while (now() < until) {
        RequestLine request;
        request.kind = "calendar-read";
        request.plan = "storplan";
        request.deadlineMs = kDeadlineMs;
        ++requests;
        // A close that crosses a request: the client sends it once more on a new connection, with its full time.
        for (int tries = 0; tries < 2; ++tries) {
          if (!client.isOpen()) client = Socket::connectTo(gateway.port());
          const double at = now();
          {
            const std::lock_guard lock(mutex);
            sentAt[request.id] = at;
          }
          client.send(request.str());
          Message answer;
          ReadResult result = readMessage(client, at + kDeadlineMs + kLateMs + kSocketsMs, answer);
          if (result == ReadResult::timeout) {
            ++lost;
            result = readMessage(client, at + 5000, answer);
            note("client: " + request.id + text(" lost: after %.0f ms %s %d", now() - at,
                                                result == ReadResult::message ? "answered" : "not answered", answer.status()));
          } else if (result == ReadResult::message && answer.status() == 200) {
            ++served;
          }
          if (result != ReadResult::message || answer.field("connection") == "close") client.close();
          if (result != ReadResult::closed) break;
          ++closed;
        }
        sleepMs(100);
      }
    });
  for (std::thread& client : clients) client.join();
  done = true;
  others.join();
  finish(lost > 0, text("%d of %d requests of the usual clients had no final answer %.0f ms after they were sent (deadline %d ms), "
                        "%d were served in time, %d were sent again after a close; %d reached a host after their time; the other "
                        "clients were turned away %d times",
                        lost.load(), requests.load(), kDeadlineMs + kLateMs + kSocketsMs, kDeadlineMs, served.load(), closed.load(),
                        late, turnedAway.load()));
}
