// Stand-ins for the cases of the second review: clients, hosts, discovery and a counter service on loopback, with
// blocking sockets and a thread for each connection. They follow the protocol page; a case sets what differs.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// ---- Time ----

using SteadyClock = std::chrono::steady_clock;
inline const SteadyClock::time_point kStart = SteadyClock::now();

/// Milliseconds since the start of this program.
inline double now() { return std::chrono::duration<double, std::milli>(SteadyClock::now() - kStart).count(); }
inline void sleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void sleepUntil(double at) { sleepMs(at - now()); }

// ---- The record ----

/// Lines of record.txt, each with its time. All threads may write.
class Record {
 public:
  static Record& instance() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%10.1f ms  ", now());
    file_ << time << text << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};
inline void note(const std::string& text) { Record::instance().line(text); }

template <class... Args>
std::string text(const char* format, Args... args) {
  char buffer[4096];
  std::snprintf(buffer, sizeof buffer, format, args...);
  return buffer;
}

/// The case could not run: exit code 2.
[[noreturn]] inline void cannotRun(const std::string& why) {
  note("could not run: " + why);
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::_Exit(2);
}

// ---- Sockets ----

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(Socket&& other) noexcept : fd_(other.fd_), in_(std::move(other.in_)) { other.fd_ = -1; }
  Socket& operator=(Socket&& other) noexcept {
    if (this == &other) return *this;
    close();
    fd_ = other.fd_;
    in_ = std::move(other.in_);
    other.fd_ = -1;
    return *this;
  }
  ~Socket() { close(); }

  static Socket connectTo(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return {};
    }
    return Socket(fd);
  }
  bool isOpen() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  /// Closes with a reset.
  void reset() {
    const linger now{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void shutdownBoth() const {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }
  bool send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Waits until bytes or the end have arrived, until the time `until`. Returns false if nothing has.
  bool waitReadable(double until) const {
    pollfd state{fd_, POLLIN, 0};
    return ::poll(&state, 1, std::max(0, static_cast<int>(until - now() + 0.999))) > 0;
  }
  /// Reads what is there. Returns false at the end of the stream or after a reset.
  bool readSome() {
    char bytes[65536];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    in_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  std::string& in() { return in_; }

 private:
  int fd_ = -1;
  std::string in_;
};

/// A port that was free a moment ago, for a program that listens itself.
inline std::uint16_t freePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    cannotRun("no free port");
  ::close(fd);
  return ntohs(address.sin_port);
}

// ---- HTTP ----

struct Message {
  std::string start;                          ///< The start line.
  std::map<std::string, std::string> fields;  ///< Names in lower case.
  std::string body;
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string target() const {
    const auto from = start.find(' ');
    return from == std::string::npos ? "" : start.substr(from + 1, start.find(' ', from + 1) - from - 1);
  }
};

enum class ReadResult { message, timeout, closed };

/// Reads one message with a Content-Length or without a body.
inline ReadResult readMessage(Socket& socket, double until, Message& message) {
  while (true) {
    const std::string& in = socket.in();
    if (const auto headEnd = in.find("\r\n\r\n"); headEnd != std::string::npos) {
      message = {};
      std::size_t at = in.find("\r\n");
      message.start = in.substr(0, at);
      while (at < headEnd) {
        const auto lineEnd = in.find("\r\n", at + 2);
        const std::string line = in.substr(at + 2, lineEnd - at - 2);
        if (const auto colon = line.find(':'); colon != std::string::npos) {
          std::string name = line.substr(0, colon);
          std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
          const auto from = line.find_first_not_of(' ', colon + 1);
          message.fields[name] = from == std::string::npos ? "" : line.substr(from);
        }
        at = lineEnd;
      }
      const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
      if (in.size() >= headEnd + 4 + length) {
        message.body = in.substr(headEnd + 4, length);
        socket.in().erase(0, headEnd + 4 + length);
        return ReadResult::message;
      }
    }
    if (!socket.waitReadable(until)) return ReadResult::timeout;
    if (!socket.readSome()) return ReadResult::closed;
  }
}

inline std::string response(int status, const std::string& body, const std::string& fields = "") {
  const char* const reason = status == 200 ? "OK" : "Service Unavailable";
  return text("HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", status, reason, body.size()) + fields + "\r\n" + body;
}

/// Ids that no other request of this run has.
inline std::string freshId() {
  static std::atomic<std::uint64_t> next{(static_cast<std::uint64_t>(std::random_device{}()) << 32) | 1};
  return text("%016llx", static_cast<unsigned long long>(next++));
}

struct RequestLine {
  std::string kind = "read";
  std::string method = "GET";
  std::string id = freshId();
  std::string plan = "small";
  std::string account = "0000000000000007";
  int deadlineMs = 1000;
  std::string quota = "units=1,spread=1,first=0";
  std::string fields;  ///< Complete lines.
  std::string str() const {
    std::string out = method + " /" + kind + " HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + id +
                      "\r\nReq-Kind: " + kind + "\r\nPlan: " + plan + "\r\nAccount: " + account +
                      text("\r\nReq-Deadline-Ms: %d", deadlineMs) + "\r\nQuota-Info: " + quota + "\r\n" + fields;
    if (method == "POST") out += "Content-Length: 0\r\n";
    return out + "\r\n";
  }
};

// ---- Servers ----

/// Listens on a port of its own and runs `serve` in a thread for each connection.
class Listener {
 public:
  using Serve = std::function<void(Socket&)>;

  explicit Listener(Serve serve, std::uint16_t port = 0) : serve_(std::move(serve)) { listen(port); }
  ~Listener() { stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  std::uint16_t port() const { return port_; }
  std::string address() const { return text("127.0.0.1:%d", int{port_}); }
  /// The process dies: its connections are reset and new ones are refused.
  void stop() {
    if (stopped_.exchange(true)) return;
    ::shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    ::close(fd_);
    resetConnections();
    for (std::thread& thread : threads_) thread.join();
  }
  /// Resets the open connections; new ones are accepted.
  void resetConnections() {
    const std::lock_guard lock(mutex_);
    for (Socket* const socket : open_) {
      const linger now{1, 0};
      ::setsockopt(socket->fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
      // An end of stream wakes the thread that reads; it closes the socket, which then sends the reset.
      ::shutdown(socket->fd(), SHUT_RD);
    }
  }
  std::size_t openConnections() {
    const std::lock_guard lock(mutex_);
    return open_.size();
  }

 private:
  void listen(std::uint16_t port) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof address;
    if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd_, 512) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      cannotRun("cannot listen");
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept(); });
  }
  void accept() {
    while (!stopped_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const std::lock_guard lock(mutex_);
      threads_.emplace_back([this, fd] {
        Socket socket(fd);
        {
          const std::lock_guard inner(mutex_);
          open_.insert(&socket);
        }
        serve_(socket);
        const std::lock_guard inner(mutex_);
        open_.erase(&socket);
        socket.close();
      });
    }
  }

  Serve serve_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::set<Socket*> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// A host of the service: reads requests one after another and lets `handle` answer them. `handle` returns false to
/// end the connection.
class Host {
 public:
  using Handle = std::function<bool(Socket&, const Message&)>;
  explicit Host(Handle handle, std::uint16_t port = 0)
      : listener_(
            [handle = std::move(handle)](Socket& socket) {
              Message request;
              while (readMessage(socket, 1e12, request) == ReadResult::message)
                if (!handle(socket, request)) return;
            },
            port) {}
  std::uint16_t port() const { return listener_.port(); }
  std::string address() const { return listener_.address(); }
  void stop() { listener_.stop(); }
  std::size_t openConnections() { return listener_.openConnections(); }

 private:
  Listener listener_;
};

// ---- Discovery ----

struct Instance {
  std::string id;
  std::string address;
  std::string zone = "a";
  int cell = 0;
  std::string lifecycle = "in_service";
  long long startedAtMs = 0;
  std::string json() const {
    return R"({"instanceId":")" + id + R"(","hostPort":")" + address + R"(","zone":")" + zone +
           text(R"(","machineType":"m1","cell":%d,"lifecycle":"%s","weight":1.0,"startedAtMs":%lld})", cell,
                lifecycle.c_str(), startedAtMs);
  }
};

/// The agent: whole lists and watches, with an empty line every 2 s.
class Discovery {
 public:
  Discovery() : listener_([this](Socket& socket) { serve(socket); }) {}
  ~Discovery() {
    stopping_ = true;
    changed_.notify_all();
    listener_.stop();
  }
  std::string address() const { return listener_.address(); }

  void publish(const Instance& instance) { publish(std::vector<Instance>{instance}); }
  /// One change with these entries; what is `terminated` is in no whole list afterwards.
  void publish(const std::vector<Instance>& entries) {
    const std::lock_guard lock(mutex_);
    ++generation_;
    for (const Instance& instance : entries) {
      changes_.push_back({generation_, instance});
      if (instance.lifecycle == "terminated")
        instances_.erase(instance.id);
      else
        instances_[instance.id] = instance;
    }
    changed_.notify_all();
  }
  std::string wholeList() {
    const std::lock_guard lock(mutex_);
    return wholeListLocked();
  }
  /// Resets all open connections.
  void resetWatches() { listener_.resetConnections(); }
  /// From now on an answer's list is written in pieces over so many milliseconds.
  void setSlow(double ms) { slowMs_ = ms; }
  /// So many of the next calls are refused with 503.
  void refuseNext(int calls) { refuse_ = calls; }
  int calls() const { return calls_; }

 private:
  struct Change {
    int generation;
    Instance instance;
  };

  std::string listJson(const std::vector<Instance>& entries, bool whole) const {
    std::string out = text(R"({"generation":%d,"reset":%s,"instances":[)", generation_, whole ? "true" : "false");
    for (std::size_t index = 0; index < entries.size(); ++index) out += (index > 0 ? "," : "") + entries[index].json();
    return out + "]}";
  }
  std::string wholeListLocked() const {
    std::vector<Instance> all;
    for (const auto& [id, instance] : instances_) all.push_back(instance);
    return listJson(all, true);
  }
  static std::string chunk(const std::string& bytes) { return text("%zx\r\n", bytes.size()) + bytes + "\r\n"; }

  void serve(Socket& socket) {
    Message request;
    while (readMessage(socket, 1e12, request) == ReadResult::message) {
      ++calls_;
      const std::string target = request.target();
      note("discovery: call " + target);
      if (refuse_ > 0) {
        --refuse_;
        note("discovery: call refused with 503");
        if (!socket.send(response(503, ""))) return;
        continue;
      }
      const auto from = target.find("watch=1");
      if (from != std::string::npos) return watch(socket);
      if (!socket.send(response(200, wholeList()))) return;
    }
  }
  void watch(Socket& socket) {
    if (!socket.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    int told = 0;
    std::string list;
    {
      const std::lock_guard lock(mutex_);
      told = generation_;
      list = wholeListLocked();
    }
    if (!sendList(socket, list)) return;
    while (!stopping_) {
      std::string out = "\n";
      {
        std::unique_lock lock(mutex_);
        const auto until = SteadyClock::now() + std::chrono::seconds(2);
        while (!stopping_ && generation_ == told && SteadyClock::now() < until) {
          changed_.wait_for(lock, std::chrono::milliseconds(20));
          if (hasEnded(socket)) return;
        }
        if (generation_ != told) {
          std::vector<Instance> entries;
          for (const Change& change : changes_)
            if (change.generation > told) entries.push_back(change.instance);
          out = listJson(entries, false) + "\n";
          told = generation_;
        }
      }
      if (out != "\n") note("discovery: watch told " + out.substr(0, out.size() - 1));
      if (!socket.send(chunk(out))) return;
    }
  }
  static bool hasEnded(Socket& socket) { return socket.waitReadable(now()) && !socket.readSome(); }

  bool sendList(Socket& socket, const std::string& list) {
    const double slow = slowMs_;
    constexpr int kPieces = 16;
    if (slow <= 0) return socket.send(chunk(list + "\n"));
    const std::size_t size = list.size() / kPieces + 1;
    for (std::size_t at = 0; at < list.size(); at += size) {
      if (!socket.send(chunk(list.substr(at, size)))) return false;
      for (const double until = now() + slow / kPieces; now() < until; sleepMs(5))
        if (stopping_ || hasEnded(socket)) {
          note("discovery: the caller has gone in the middle of the list");
          return false;
        }
    }
    note("discovery: a slow list is complete");
    return socket.send(chunk("\n"));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{false};
  int generation_ = 1;
  std::map<std::string, Instance> instances_;
  std::vector<Change> changes_;
  std::atomic<double> slowMs_{0};
  std::atomic<int> refuse_{0};
  std::atomic<int> calls_{0};
  Listener listener_;
};

// ---- The counter service ----

class Counter {
 public:
  Counter() : listener_([this](Socket& socket) { serve(socket); }) {}
  std::string address() const { return listener_.address(); }

 private:
  void serve(Socket& socket) {
    Message request;
    while (readMessage(socket, 1e12, request) == ReadResult::message) {
      const std::string target = request.target();
      const auto amountAt = target.find("?n=");
      if (target.rfind("/tally/", 0) != 0 || amountAt == std::string::npos) {
        if (!socket.send(response(400, ""))) return;
        continue;
      }
      double total = 0;
      {
        const std::lock_guard lock(mutex_);
        total = totals_[target.substr(7, amountAt - 7)] += std::strtod(target.c_str() + amountAt + 3, nullptr);
      }
      if (!socket.send(response(200, text("%.7g", total)))) return;
    }
  }
  std::mutex mutex_;
  std::map<std::string, double> totals_;
  Listener listener_;
};

// ---- Gateways ----

/// The arguments of each case: the root of the project, the run command of the deploy file, a temporary folder, the
/// record's path. TROUBLE=0 in the environment leaves out the disruption.
struct Arguments {
  std::string root;
  std::string run;
  std::string folder;
  bool trouble = true;
  Arguments(int argc, char** argv) {
    if (argc != 5) {
      std::fprintf(stderr, "usage: case ROOT RUN FOLDER RECORD\n");
      std::_Exit(2);
    }
    root = argv[1];
    run = argv[2];
    folder = argv[3];
    Record::instance().open(argv[4]);
    const char* const value = std::getenv("TROUBLE");
    trouble = value == nullptr || std::string(value) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::thread([] {
      sleepMs(115000);
      cannotRun("the time of 115 s is over");
    }).detach();
    note(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
  }
};

/// One gateway process, started with the deploy file's command.
class Gateway {
 public:
  Gateway(const Arguments& arguments, std::string name) : arguments_(arguments), name_(std::move(name)), port_(freePort()) {}
  ~Gateway() { end(SIGKILL); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }

  /// `settings`: the JSON object. `limits`: the JSON object of the machine's limits.
  void configure(const std::string& discovery, const std::string& counter, const std::string& known,
                 const std::string& settings, const std::string& limits) {
    std::ofstream(configPath()) << R"({"name":")" << name_ << R"(","listen":"127.0.0.1:)" << port_
                                << R"(","discovery":")" << discovery << R"(","counter":")" << counter
                                << R"(","seed":"8c1f30d27a5be964","limits":)" << limits << R"(,"known":)" << known
                                << R"(,"settings":)" << settings << "}";
  }
  void start() {
    const std::string log = arguments_.folder + "/" + name_ + ".log";
    const std::string config = configPath();
    const std::string listen = text("127.0.0.1:%d", int{port_});
    pid_ = ::fork();
    if (pid_ < 0) cannotRun("fork failed");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("GW_CONFIG", config.c_str(), 1);
      ::setenv("GW_NAME", name_.c_str(), 1);
      ::setenv("GW_LISTEN", listen.c_str(), 1);
      if (::getenv("GW_LOG_LEVEL") == nullptr) ::setenv("GW_LOG_LEVEL", "info", 1);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (::chdir(arguments_.root.c_str()) == 0)
        ::execl("/bin/sh", "sh", "-c", arguments_.run.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    const double until = now() + 10000;
    while (now() < until) {
      Socket socket = Socket::connectTo(port_);
      Message answer;
      if (socket.isOpen() && socket.send("GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") &&
          readMessage(socket, now() + 1000, answer) == ReadResult::message && answer.status() == 200) {
        note("gateway " + name_ + " is ready");
        return;
      }
      if (hasEnded()) cannotRun("gateway " + name_ + " ended at its start");
      sleepMs(20);
    }
    cannotRun("gateway " + name_ + " is not ready");
  }
  /// Whether the process has ended by itself.
  bool hasEnded() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  void end(int signal) {
    if (pid_ <= 0) return;
    ::kill(pid_, signal);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
  }

 private:
  std::string configPath() const { return arguments_.folder + "/" + name_ + ".json"; }

  const Arguments& arguments_;
  const std::string name_;
  const std::uint16_t port_;
  pid_t pid_ = -1;
};

/// Prints and records the verdict and ends this program; its gateways end with it.
[[noreturn]] inline void finish(bool broken, const std::string& why) {
  const std::string verdict = (broken ? "BROKEN: " : "held: ") + why;
  note(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  std::_Exit(broken ? 1 : 0);
}

}  // namespace review
