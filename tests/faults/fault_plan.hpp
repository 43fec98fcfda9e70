#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <new>
#include <stdexcept>
#include <string>

/// \file
/// Defines which system calls of the program under test fail. The test and the program map the same file into
/// memory, so that a test can change the plan while the program runs.
namespace merlinbridge::testing {

/// A system call, or a group of calls, that can be made to fail.
enum class FaultyCall : std::size_t {
  accept,
  socket,
  connect,
  receive,       ///< recv, recvmsg and read of a socket
  send,          ///< send, sendmsg and write of a socket
  shortReceive,  ///< Not an error: at most one byte is read.
  shortSend,     ///< Not an error: at most one byte is written.
  setNonBlocking,
  epollAdd,
  epollModify,
  epollWait,
  setTimer,
  poll,
  pipeRead,
  pipeWrite,
  fileOpen,
  fileRead,
  logWrite,   ///< write and writev of standard error
  stepClock,  ///< Not an error: the wall clock is ahead by `error` seconds.
  bind,
  listen,
  count
};

/// The fault of one call: every `every`-th call fails with `error` while `remaining` is above 0.
struct Fault {
  std::atomic<int> error;      ///< The errno value that a failing call sets.
  std::atomic<int> remaining;  ///< Number of calls that are still to fail.
  std::atomic<int> every;      ///< With 1, each call fails.
  std::atomic<int> calls;      ///< Number of calls made since fail() was called.
  std::atomic<int> failed;     ///< Number of calls that have failed since the plan was made.
};

using FaultTable = std::array<Fault, static_cast<std::size_t>(FaultyCall::count)>;

/// The environment variable that names the file with the table.
inline constexpr const char* kFaultPlanVariable = "MERLINBRIDGE_FAULT_PLAN";

/// A table of faults in a file that both processes map. Owns the mapping; the file stays. Safe to use from
/// several threads and processes at once.
class FaultPlan {
 public:
  /// Maps the file `path`, which is created if it does not exist. Throws std::runtime_error if that fails.
  explicit FaultPlan(const std::string& path) {
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0 || ::ftruncate(file, sizeof(FaultTable)) != 0)
      throw std::runtime_error("cannot open or resize the fault plan " + path);
    void* const at = ::mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (at == MAP_FAILED) throw std::runtime_error("cannot map the fault plan " + path);
    table_ = static_cast<FaultTable*>(at);  // zeros mean a table without faults
  }
  FaultPlan(const FaultPlan&) = delete;
  FaultPlan& operator=(const FaultPlan&) = delete;
  ~FaultPlan() { ::munmap(table_, sizeof(FaultTable)); }

  /// The fault of `call`, as both processes see it.
  Fault& at(FaultyCall call) { return (*table_)[static_cast<std::size_t>(call)]; }
  /// From now on, every `every`-th `call` fails with `error`, `times` times.
  void fail(FaultyCall call, int error, int times, int every = 1) {
    Fault& fault = at(call);
    fault.error = error;
    fault.every = every;
    fault.calls = 0;
    fault.remaining = times;  // last, since it arms the fault
  }
  /// From now on, `call` succeeds.
  void stop(FaultyCall call) { at(call).remaining = 0; }
  /// Returns the number of calls that have failed.
  int failed(FaultyCall call) { return at(call).failed; }

 private:
  FaultTable* table_ = nullptr;
};

}  // namespace merlinbridge::testing
