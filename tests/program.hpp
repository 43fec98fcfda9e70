#pragma once

#include <spawn.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include "faults/fault_plan.hpp"
#include "support/gateway_under_test.hpp"
#include "support/simulated_fleet.hpp"

// The program as a process of its own, with stand-ins for everybody else on loopback.
namespace merlinbridge::testing {

inline constexpr Duration kTimeout = 10s;  // only where a test fails, or on a machine that is very busy

inline bool within(const std::function<bool()>& done, Duration timeout = kTimeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < end) {
    if (done()) return true;
    std::this_thread::sleep_for(1ms);
  }
  return done();
}

inline std::string readFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

class Program {
 public:
  explicit Program(std::string program = MERLINBRIDGE_PROGRAM) : program_(std::move(program)) {
    char folder[] = "/tmp/merlinbridge-test-XXXXXX";
    REQUIRE(mkdtemp(folder));
    folder_ = folder;
    listenPort = PeerListener().port;
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  ~Program() {
    if (pid_ > 0) ::kill(pid_, SIGKILL), ::waitpid(pid_, nullptr, 0);
    for (const char* name : {"/config.json", "/log", "/said", "/own.toml", "/orders.json", "/faults"})
      std::remove((folder_ + name).c_str());
    ::rmdir(folder_.c_str());
  }

  std::string config(const std::string& known = "") const {
    return gatewayConfigText("127.0.0.1:" + std::to_string(listenPort), discovery.address(),
                             counter.address(),
                             known.empty() ? endpointJson(host.port, "h1", "in_service") : known, 128);
  }
  void writeConfig(const std::string& text) const { std::ofstream(folder_ + "/config.json") << text; }
  void start(const std::string& text, const std::string& own = "") {
    if (!configIsPipe_) writeConfig(text);
    const std::string ownSetting = "GW_OWN=" + own;
    const std::string setting = "GW_CONFIG=" + folder_ + "/config.json";
    const std::string log = folder_ + "/log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    if (logDescriptor >= 0)
      posix_spawn_file_actions_adddup2(&files, logDescriptor, 2);
    else
      posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const std::string faults = kFaultPlanVariable + ("=" + faultPlanFile());
    char* const argv[] = {program_.data(), nullptr};
    char* const env[] = {const_cast<char*>(setting.c_str()), const_cast<char*>(ownSetting.c_str()),
                         const_cast<char*>(faults.c_str()), nullptr};
    REQUIRE(posix_spawn(&pid_, program_.c_str(), &files, nullptr, argv, env) == 0);
    posix_spawn_file_actions_destroy(&files);
  }
  void startReady() {
    start(config());
    REQUIRE(logHolds("info: ready"));
  }
  /// Read by the program with faults alone.
  std::string faultPlanFile() const { return folder_ + "/faults"; }
  std::string log() const { return readFile(folder_ + "/log"); }
  bool logHolds(const std::string& line) const {
    return within([&] { return log().find(line) != std::string::npos; });
  }
  void signal(int which) const { ::kill(pid_, which); }
  // From here on the system lets it open no more than that.
  void limitDescriptors(rlim_t most) const {
    const rlimit limit{most, most};
    REQUIRE(::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr) == 0);
  }
  // Another start of it, to its end: what it said, and its exit status.
  std::pair<std::string, int> runCommand(const std::vector<std::string>& words) const {
    const std::string out = folder_ + "/said";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    std::vector<char*> argv{const_cast<char*>(MERLINBRIDGE_PROGRAM)};
    for (const std::string& word : words) argv.push_back(const_cast<char*>(word.c_str()));
    argv.push_back(nullptr);
    char* const env[] = {nullptr};
    pid_t pid = 0;
    int status = 0;
    REQUIRE(posix_spawn(&pid, MERLINBRIDGE_PROGRAM, &files, nullptr, argv.data(), env) == 0);
    posix_spawn_file_actions_destroy(&files);
    ::waitpid(pid, &status, 0);
    return {readFile(out), WIFEXITED(status) ? WEXITSTATUS(status) : -1};
  }
  std::string writeFile(const std::string& name, const std::string& text) const {
    std::ofstream(folder_ + "/" + name) << text;
    return folder_ + "/" + name;
  }
  // The configuration come through a pipe at first, so that the program waits in the middle of reading them.
  std::string makeConfigPipe() {
    configIsPipe_ = true;
    REQUIRE(::mkfifo((folder_ + "/config.json").c_str(), 0600) == 0);
    return folder_ + "/config.json";
  }
  void replaceConfigPipe() {
    std::ofstream(folder_ + "/orders.json") << config();
    std::rename((folder_ + "/orders.json").c_str(), (folder_ + "/config.json").c_str());
  }
  bool isRunning() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
  }
  // Its exit status, -1 where it ended by a signal or did not end.
  int exitStatus() {
    if (!within([&] { return !isRunning(); })) return -1;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  TestPeer client() const { return TestPeer::connectTo(listenPort); }

  PeerListener host, counter, discovery;
  std::uint16_t listenPort = 0;
  int logDescriptor = -1;  ///< Where the log goes, if not to a file.

 private:
  std::string program_;
  std::string folder_;
  bool configIsPipe_ = false;
  pid_t pid_ = 0;
  int status_ = 0;
};

}  // namespace merlinbridge::testing
