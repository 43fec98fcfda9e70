// Stand-ins for the cases: hosts, discovery, the counter service, clients, and the gateway as a process.
// Blocking sockets, one thread a connection; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Steady = std::chrono::steady_clock;
inline const Steady::time_point kStart = Steady::now();

/// Seconds since the start of the case.
inline double now() { return std::chrono::duration<double>(Steady::now() - kStart).count(); }
inline void sleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleepUntil(double at) { sleepFor(at - now()); }
inline std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The case cannot run: exit code 2.
[[noreturn]] inline void cannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

/// Ends the case with its script, whatever ends that, and after 115 s; the gateways end with the case, see Gateway::start().
inline const bool kEndsWithScript = [] {
  const pid_t script = ::getppid();
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != script) std::_Exit(2);
  std::thread([] {
    sleepFor(115);
    std::fprintf(stderr, "cannot run: not done after 115 s\n");
    std::_Exit(2);
  }).detach();
  return true;
}();

inline std::string format(const char* text, ...) __attribute__((format(printf, 1, 2)));
inline std::string format(const char* text, ...) {
  va_list arguments;
  va_start(arguments, text);
  char buffer[2048];
  std::vsnprintf(buffer, sizeof buffer, text, arguments);
  va_end(arguments);
  return buffer;
}

/// record.txt: what was sent, answered and run. Each line begins with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : file_(std::fopen(file.c_str(), "w")) {
    if (!file_) cannotRun("cannot write " + file);
  }
  void operator()(const std::string& line) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", now(), line.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---- Sockets ----

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int listenOn(std::uint16_t& port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(listener, 1024) != 0)
    cannotRun("cannot listen on a loopback port");
  socklen_t size = sizeof address;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return listener;
}

/// A port that was free a moment ago.
inline std::uint16_t freePort() {
  std::uint16_t port = 0;
  ::close(listenOn(port));
  return port;
}

inline std::string lower(std::string text) {
  for (char& character : text) character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  return text;
}

/// An HTTP message: the start line's words, the header fields by lower-case name, the body.
struct Message {
  std::string first, second, third;
  std::map<std::string, std::string> fields;
  std::string body;
  std::string get(const std::string& name) const {
    const auto found = fields.find(lower(name));
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return std::atoi(second.c_str()); }
};

/// One TCP connection.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { ::close(socket_); }

  static std::unique_ptr<Connection> to(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(socket);
      return nullptr;
    }
    return std::make_unique<Connection>(socket);
  }

  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads a message with Content-Length or without a body. False at the end of the stream, a reset or after
  /// `seconds`.
  bool read(Message& message, double seconds = 1e6) {
    message = {};
    const double until = now() + seconds;
    std::size_t headEnd = 0;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!receive(until)) return false;
    std::istringstream head(buffer_.substr(0, headEnd));
    std::string line;
    std::getline(head, line);
    std::istringstream(line) >> message.first >> message.second >> message.third;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    const std::size_t length = std::strtoul(message.get("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < headEnd + 4 + length)
      if (!receive(until)) return false;
    message.body = buffer_.substr(headEnd + 4, length);
    buffer_.erase(0, headEnd + 4 + length);
    return true;
  }

  /// Waits until bytes or an end of stream have arrived.
  bool readable(double seconds) const {
    pollfd state{socket_, POLLIN, 0};
    return ::poll(&state, 1, static_cast<int>(seconds * 1000)) > 0;
  }
  void end() { ::shutdown(socket_, SHUT_RDWR); }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(socket_, SHUT_RD);
  }

 private:
  bool receive(double until) {
    const double left = until - now();
    if (left <= 0 || !readable(std::min(left, 1000.0))) return false;
    char bytes[16384];
    const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  const int socket_;
  std::string buffer_;
};

inline std::string response(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a free port and runs `serve` for each in a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;
  explicit Listener(Serve serve) : serve_(std::make_shared<Serve>(std::move(serve))) {
    listener_ = listenOn(port_);
    std::thread([listener = listener_, serve = serve_] {
      while (true) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) return;
        std::thread([socket, serve] {
          Connection connection(socket);
          (*serve)(connection);
        }).detach();
      }
    }).detach();
  }
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  std::shared_ptr<Serve> serve_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
};

// ---- The outside systems ----

/// One entry of the list of hosts.
struct Endpoint {
  std::string id, address, zone;
  int cell = 0;
  std::string lifecycle = "in_service";
  std::int64_t startedAtMs = 0;
  std::string json() const {
    return format(
        R"({"instanceId":"%s","hostPort":"%s","zone":"%s","machineType":"std","cell":%d,"lifecycle":"%s","weight":1.0,"startedAtMs":%lld})",
        id.c_str(), address.c_str(), zone.c_str(), cell, lifecycle.c_str(), static_cast<long long>(startedAtMs));
  }
};

inline std::string listOf(const std::vector<Endpoint>& endpoints, int generation, bool whole) {
  std::string entries;
  for (const Endpoint& endpoint : endpoints) entries += (entries.empty() ? "" : ",") + endpoint.json();
  return format(R"({"generation":%d,"reset":%s,"instances":[)", generation, whole ? "true" : "false") + entries + "]}";
}

/// The agent of discovery: whole lists, watches with changes, an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<Endpoint> endpoints)
      : endpoints_(std::move(endpoints)), listener_([this](Connection& connection) { serve(connection); }) {}
  std::string address() const { return listener_.address(); }
  std::string list() {
    const std::lock_guard lock(mutex_);
    return listOf(endpoints_, generation_, true);
  }
  /// Changes one entry and tells every open watch at once.
  void change(const Endpoint& entry) {
    const std::lock_guard lock(mutex_);
    ++generation_;
    bool known = false;
    for (Endpoint& endpoint : endpoints_)
      if (endpoint.id == entry.id) endpoint = entry, known = true;
    if (!known) endpoints_.push_back(entry);
    changes_[generation_] = entry;
  }

 private:
  void serve(Connection& connection) {
    Message request;
    while (connection.read(request)) {
      if (request.second.find("watch=1") == std::string::npos) {
        if (!connection.send(response(200, list()))) return;
        continue;
      }
      const std::size_t from = request.second.find("from=");
      return watch(connection, from == std::string::npos ? 0 : std::atoi(request.second.c_str() + from + 5));
    }
  }
  void watch(Connection& connection, int told) {
    if (!connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    bool first = true;
    double lastSent = now();
    while (true) {
      std::string line;
      {
        const std::lock_guard lock(mutex_);
        if (first && told < 1) {
          line = listOf(endpoints_, generation_, true) + "\n";
        } else if (told < generation_ || first) {
          std::vector<Endpoint> changed;
          for (const auto& [generation, entry] : changes_)
            if (generation > told) changed.push_back(entry);
          line = listOf(changed, generation_, false) + "\n";
        } else if (now() - lastSent >= 2) {
          line = "\n";
        }
        told = generation_;
      }
      first = false;
      if (!line.empty()) {
        if (!connection.send(format("%zx\r\n", line.size()) + line + "\r\n")) return;
        lastSent = now();
      }
      if (connection.readable(0.002)) return;  // the gateway has closed the watch
    }
  }

  std::mutex mutex_;
  std::vector<Endpoint> endpoints_;
  std::map<int, Endpoint> changes_;
  int generation_ = 1;
  Listener listener_;
};

/// The counter service. Silent from silentFrom to silentUntil: it reads calls, adds nothing and never answers.
class Counter {
 public:
  Counter() : listener_([this](Connection& connection) { serve(connection); }) {}
  std::string address() const { return listener_.address(); }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t unanswered() const { return unanswered_; }
  void beSilent(double from, double until) {
    silentFrom_ = from;
    silentUntil_ = until;
  }

 private:
  void serve(Connection& connection) {
    Message call;
    while (connection.read(call)) {
      ++calls_;
      if (now() >= silentFrom_ && now() < silentUntil_) {
        ++unanswered_;
        continue;
      }
      const std::size_t mark = call.second.find('?');
      const std::size_t amount = call.second.find("n=", mark);
      if (call.second.rfind("/tally/", 0) != 0 || amount == std::string::npos) {
        if (!connection.send(response(404, ""))) return;
        continue;
      }
      double total = 0;
      {
        const std::lock_guard lock(mutex_);
        sleepFor(0.0004);  // 0.35 to 1.3 ms a call
        total = totals_[call.second.substr(7, mark - 7)] += std::atof(call.second.c_str() + amount + 2);
      }
      if (!connection.send(response(200, format("%.7g", total)))) return;
    }
  }

  std::mutex mutex_;
  std::map<std::string, double> totals_;
  std::atomic<double> silentFrom_{1e9}, silentUntil_{1e9};
  std::atomic<std::uint64_t> calls_{0}, unanswered_{0};
  Listener listener_;
};

// ---- The gateway as a process ----

struct GatewayConfig {
  std::string discovery, counter, known, settings;
  int sockets = 256;
  int memoryMb = 192;
};

/// One gateway, started with the command of the deploy file from the root of the project.
class Gateway {
 public:
  Gateway(int number, const GatewayConfig& config)
      : number_(number), port_(freePort()), folder_(environment("CASE_TMP")) {
    configFile_ = folder_ + format("/config-%d.json", number);
    write(config);
  }
  ~Gateway() { kill(); }

  void write(const GatewayConfig& config) const {
    std::ofstream(configFile_ + ".new") << format(R"({"name":"n%d","listen":"127.0.0.1:%u","discovery":"%s","seed":"%llx",)",
                                                 number_, port_, config.discovery.c_str(),
                                                 static_cast<unsigned long long>(unixMilliseconds() * 7919 + number_))
                                        << format(R"("limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"counter":"%s","known":)",
                                                  config.memoryMb, config.sockets, config.counter.c_str())
                                        << config.known << R"(,"settings":)" << config.settings << "}\n";
    ::rename((configFile_ + ".new").c_str(), configFile_.c_str());
  }
  void start() {
    const std::string root = environment("CASE_ROOT"), run = environment("CASE_RUN");
    const std::string log = folder_ + format("/gateway-%d.log", number_);
    const std::string name = format("n%d", number_), listen = format("127.0.0.1:%u", port_);
    process_ = ::fork();
    if (process_ < 0) cannotRun("fork");
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("GW_NAME", name.c_str(), 1);
      ::setenv("GW_LISTEN", listen.c_str(), 1);
      ::setenv("GW_CONFIG", configFile_.c_str(), 1);
      if (::chdir(root.c_str()) != 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(127);
    }
    for (double until = now() + 30; now() < until; sleepFor(0.02)) {
      const auto connection = Connection::to(port_);
      Message answer;
      if (connection && connection->send("GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n") &&
          connection->read(answer, 1) && answer.status() == 200)
        return;
      if (exited()) cannotRun("the gateway ended at its start");
    }
    cannotRun("the gateway was not ready within 30 s");
  }
  std::uint16_t port() const { return port_; }
  pid_t process() const { return process_; }
  void signal(int number) const { ::kill(process_, number); }
  bool exited() {
    if (process_ <= 0) return true;
    int status = 0;
    if (::waitpid(process_, &status, WNOHANG) != process_) return false;
    process_ = -1;
    return true;
  }
  void kill() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
  }

 private:
  static std::string environment(const char* name) {
    const char* const value = std::getenv(name);
    if (!value) cannotRun(std::string(name) + " is not set; start run.sh");
    return value;
  }
  const int number_;
  const std::uint16_t port_;
  const std::string folder_;
  std::string configFile_;
  pid_t process_ = -1;
};

/// Whether the case plays its disruption: not with TROUBLE=0.
inline bool trouble() {
  const char* const value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

/// A random number of 64 bits, for ids.
inline std::uint64_t randomId() {
  static std::mutex mutex;
  static std::uint64_t state = static_cast<std::uint64_t>(unixMilliseconds()) * 0x9e3779b97f4a7c15ULL + ::getpid();
  const std::lock_guard lock(mutex);
  state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

}  // namespace standin
