#include "daemon_processes.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <utility>

#include "lab/result_table.hpp"

namespace merlinbridge::test_services {

DaemonProcesses::DaemonProcesses(std::string program) : program_(std::move(program)) {
  char folder[] = "/tmp/merlinbridge-validation-XXXXXX";
  if (!mkdtemp(folder)) throw lab::LabError("cannot create a temporary folder for the daemons' files");
  folder_ = folder;
}

DaemonProcesses::~DaemonProcesses() {
  for (const pid_t pid : pids_) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

void DaemonProcesses::start(const std::string& configuration) {
  constexpr mode_t kLogMode = 0600;
  const std::string path = fmt::format("{}/{}.json", folder_, pids_.size());
  const std::string log = path + ".log";
  lab::replaceFile(path, configuration);
  std::string variable = "GW_CONFIG=" + path;
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                   kLogMode);
  char* const arguments[] = {program_.data(), nullptr};
  char* const environment[] = {variable.data(), nullptr};
  pid_t pid = 0;
  const int error = posix_spawn(&pid, program_.c_str(), &files, nullptr, arguments, environment);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) throw lab::LabError("cannot start " + program_);
  pids_.push_back(pid);
}

bool DaemonProcesses::terminate() {
  bool allExitedWith0 = true;
  for (const pid_t pid : pids_) ::kill(pid, SIGTERM);
  for (const pid_t pid : pids_) {
    int status = 0;
    ::waitpid(pid, &status, 0);
    allExitedWith0 = allExitedWith0 && WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }
  pids_.clear();
  return allExitedWith0;
}

}  // namespace merlinbridge::test_services
