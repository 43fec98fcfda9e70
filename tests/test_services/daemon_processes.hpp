#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace merlinbridge::test_services {

/// Daemons in child processes, with their configurations and logs in a temporary folder. The
/// destructor kills those that are still running and removes the folder.
class DaemonProcesses {
 public:
  /// `program`: the daemon's path. Throws lab::LabError if the temporary folder cannot be created.
  explicit DaemonProcesses(std::string program);
  DaemonProcesses(const DaemonProcesses&) = delete;
  DaemonProcesses& operator=(const DaemonProcesses&) = delete;
  ~DaemonProcesses();

  /// Starts one daemon with `configuration`. Throws lab::LabError if it cannot be started.
  void start(const std::string& configuration);
  /// Sends SIGTERM to all daemons and waits until they have ended. Returns true if all exited with status 0.
  bool terminate();

 private:
  std::string program_;
  std::string folder_;
  std::vector<pid_t> pids_;
};

}  // namespace merlinbridge::test_services
