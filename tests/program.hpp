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

/// \file
/// The program under test in a child process, with its hosts, counter service and discovery on loopback.
namespace merlinbridge::testing {

/// Reached only if a test fails or the machine is heavily loaded.
inline constexpr Duration kTimeout = 10s;

/// Polls `done` until it returns true, for at most `timeout` of real time. Returns its last result.
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

/// The program as a child process, with its files in a temporary folder. The destructor kills the process and
/// removes the files.
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
    for (const char* name : {"/config.json", "/log", "/output", "/own.toml", "/orders.json", "/faults"})
      std::remove((folder_ + name).c_str());
    ::rmdir(folder_.c_str());
  }

  /// The default configuration, with `endpoints`; if empty, the only host is `host`, named "h1".
  std::string config(const std::string& endpoints = "") const {
    return gatewayConfigText(
        "127.0.0.1:" + std::to_string(listenPort), discovery.address(), counter.address(),
        endpoints.empty() ? endpointJson(host.port, "h1", "in_service") : endpoints, 128);
  }
  void writeConfig(const std::string& text) const { std::ofstream(folder_ + "/config.json") << text; }
  /// Starts the program with the configuration `text` and the operators' configuration in the file
  /// `operatorConfig`. Does not wait until it is ready.
  void start(const std::string& text, const std::string& operatorConfig = "") {
    if (!configIsPipe_) writeConfig(text);
    const std::string operatorConfigVariable = "GW_OWN=" + operatorConfig;
    const std::string configVariable = "GW_CONFIG=" + folder_ + "/config.json";
    const std::string log = folder_ + "/log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    if (logDescriptor >= 0)
      posix_spawn_file_actions_adddup2(&files, logDescriptor, 2);
    else
      posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    const std::string faultPlanVariable = kFaultPlanVariable + ("=" + faultPlanFile());
    char* const argv[] = {program_.data(), nullptr};
    char* const env[] = {const_cast<char*>(configVariable.c_str()),
                         const_cast<char*>(operatorConfigVariable.c_str()),
                         const_cast<char*>(faultPlanVariable.c_str()), nullptr};
    REQUIRE(posix_spawn(&pid_, program_.c_str(), &files, nullptr, argv, env) == 0);
    posix_spawn_file_actions_destroy(&files);
  }
  void startReady() {
    start(config());
    REQUIRE(logHolds("info: ready"));
  }
  /// Read only by the program that is built with fault injection.
  std::string faultPlanFile() const { return folder_ + "/faults"; }
  std::string log() const { return readFile(folder_ + "/log"); }
  /// Waits for at most kTimeout until the log contains `line`. Returns false if it never does.
  bool logHolds(const std::string& line) const {
    return within([&] { return log().find(line) != std::string::npos; });
  }
  void signal(int which) const { ::kill(pid_, which); }
  /// Limits the number of file descriptors of the running process.
  void limitDescriptors(rlim_t maxDescriptors) const {
    const rlimit limit{maxDescriptors, maxDescriptors};
    REQUIRE(::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr) == 0);
  }
  /// Runs the program with `arguments` in another process until it exits. Returns its output and exit status,
  /// -1 if a signal ended it.
  std::pair<std::string, int> runCommand(const std::vector<std::string>& arguments) const {
    const std::string output = folder_ + "/output";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    std::vector<char*> argv{const_cast<char*>(MERLINBRIDGE_PROGRAM)};
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    char* const env[] = {nullptr};
    pid_t pid = 0;
    int status = 0;
    REQUIRE(posix_spawn(&pid, MERLINBRIDGE_PROGRAM, &files, nullptr, argv.data(), env) == 0);
    posix_spawn_file_actions_destroy(&files);
    ::waitpid(pid, &status, 0);
    return {readFile(output), WIFEXITED(status) ? WEXITSTATUS(status) : -1};
  }
  /// Writes a file into the temporary folder and returns its path.
  std::string writeFile(const std::string& name, const std::string& text) const {
    std::ofstream(folder_ + "/" + name) << text;
    return folder_ + "/" + name;
  }
  /// Creates a named pipe in place of the configuration file, so that the program blocks while it reads the
  /// configuration. Returns its path.
  std::string makeConfigPipe() {
    configIsPipe_ = true;
    REQUIRE(::mkfifo((folder_ + "/config.json").c_str(), 0600) == 0);
    return folder_ + "/config.json";
  }
  /// Replaces the pipe with a regular file that holds the default configuration.
  void replaceConfigPipe() {
    std::ofstream(folder_ + "/orders.json") << config();
    std::rename((folder_ + "/orders.json").c_str(), (folder_ + "/config.json").c_str());
  }
  bool isRunning() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
  }
  /// Waits for the exit, for at most kTimeout. Returns the exit status, -1 if the process was ended by a
  /// signal or is still running.
  int exitStatus() {
    if (!within([&] { return !isRunning(); })) return -1;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }
  TestPeer client() const { return TestPeer::connectTo(listenPort); }
  /// The largest resident memory of the running process so far, in kilobytes.
  std::size_t peakResidentKilobytes() const {
    const std::string status = readFile("/proc/" + std::to_string(pid_) + "/status");
    const std::size_t value = status.find("VmHWM:");
    return value == std::string::npos ? 0 : std::stoul(status.substr(value + sizeof "VmHWM:" - 1));
  }

  PeerListener host, counter, discovery;
  std::uint16_t listenPort = 0;
  int logDescriptor = -1;  ///< File descriptor for the log; -1 to write it to a file.

 private:
  std::string program_;
  std::string folder_;
  bool configIsPipe_ = false;
  pid_t pid_ = 0;
  int status_ = 0;
};

}  // namespace merlinbridge::testing
