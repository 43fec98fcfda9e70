#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace merlinbridge::test_services {

/// Daemons as processes of their own, with their configurations and logs in a temporary folder. The
/// destructor kills those that still run and removes the folder.
class DaemonProcesses {
 public:
  /// `program`: the daemon's path. Throws lab::LabError if there is no temporary folder.
  explicit DaemonProcesses(std::string program);
  DaemonProcesses(const DaemonProcesses&) = delete;
  DaemonProcesses& operator=(const DaemonProcesses&) = delete;
  ~DaemonProcesses();

  /// Starts one daemon with that text as its configuration. Throws lab::LabError if it cannot be started.
  void start(const std::string& configuration);
  /// Sends SIGTERM to all daemons and waits until they have ended. Returns whether all exited with 0.
  bool terminate();

 private:
  std::string program_;
  std::string folder_;
  std::vector<pid_t> pids_;
};

}  // namespace merlinbridge::test_services
