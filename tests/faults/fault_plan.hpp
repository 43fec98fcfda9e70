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

// Which system calls of another process fail, by whose choice a test can change it while that process runs.
namespace merlinbridge::testing {

enum class FaultyCall : std::size_t {
  accept,
  socket,
  connect,
  receive,       ///< recv, recvmsg and read of a socket
  send,          ///< send, sendmsg and write of a socket
  shortReceive,  ///< One byte at most is read.
  shortSend,     ///< One byte at most is taken.
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
  stepClock,  ///< Fails not; the wall clock is ahead by `error` seconds.
  bind,
  listen,
  count
};

/// The faults of one call. `times` calls fail with `error`; of those that would, only each `every`-th does.
struct Fault {
  std::atomic<int> error;
  std::atomic<int> times;
  std::atomic<int> every;
  std::atomic<int> seen;
  std::atomic<int> failed;
};

using FaultTable = std::array<Fault, static_cast<std::size_t>(FaultyCall::count)>;

/// The environment variable that names the file with the table.
inline constexpr const char* kFaultPlanVariable = "MERLINBRIDGE_FAULT_PLAN";

/// A table of faults in a file that both processes map.
class FaultPlan {
 public:
  explicit FaultPlan(const std::string& path) {
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0 || ::ftruncate(file, sizeof(FaultTable)) != 0) throw std::runtime_error("no fault plan");
    void* const at = ::mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (at == MAP_FAILED) throw std::runtime_error("no fault plan");
    table_ = static_cast<FaultTable*>(at);  // zeros are a table without faults
  }
  FaultPlan(const FaultPlan&) = delete;
  FaultPlan& operator=(const FaultPlan&) = delete;
  ~FaultPlan() { ::munmap(table_, sizeof(FaultTable)); }

  Fault& at(FaultyCall call) { return (*table_)[static_cast<std::size_t>(call)]; }
  void fail(FaultyCall call, int error, int times, int every = 1) {
    Fault& fault = at(call);
    fault.error = error, fault.every = every, fault.seen = 0;
    fault.times = times;
  }
  void stop(FaultyCall call) { at(call).times = 0; }
  int failed(FaultyCall call) { return at(call).failed; }

 private:
  FaultTable* table_ = nullptr;
};

}  // namespace merlinbridge::testing
