/// \file
/// Interposes the C library's system calls in the program under test. Calls fail as set in the fault plan,
/// the file named by MERLINBRIDGE_FAULT_PLAN; without that variable no call fails.
#include <dlfcn.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/timerfd.h>
#include <sys/uio.h>

#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <utility>

#include "fault_plan.hpp"

namespace {

using merlinbridge::testing::Fault;
using merlinbridge::testing::FaultPlan;
using merlinbridge::testing::FaultyCall;

/// The fault plan of this process; null if none is configured.
FaultPlan* plan() {
  static const std::unique_ptr<FaultPlan> mapped = [] {
    const char* const path = std::getenv(merlinbridge::testing::kFaultPlanVariable);
    return path ? std::make_unique<FaultPlan>(path) : nullptr;
  }();
  return mapped.get();
}

/// Returns true if this call has to fail, and sets errno in that case.
bool fails(FaultyCall call) {
  // Opening the plan makes system calls that are themselves interposed here; those must not fail.
  static thread_local bool openingPlan = false;
  if (openingPlan) return false;
  openingPlan = true;
  FaultPlan* const faults = plan();
  openingPlan = false;
  if (!faults) return false;
  Fault& fault = faults->at(call);
  if (fault.remaining <= 0 || ++fault.calls % std::max(1, fault.every.load()) != 0) return false;
  --fault.remaining;
  ++fault.failed;
  errno = fault.error;
  return true;
}

/// The C library's function `name`, which the definition in this file overrides.
template <class Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

/// What a file descriptor refers to, as far as the plan distinguishes it.
enum class Kind { socket, pipe, file, standardError, other };

Kind kindOf(int descriptor) {
  struct stat status {};
  if (descriptor == STDERR_FILENO) return Kind::standardError;
  if (::fstat(descriptor, &status) != 0) return Kind::other;
  if (S_ISSOCK(status.st_mode)) return Kind::socket;
  if (S_ISFIFO(status.st_mode)) return Kind::pipe;
  return S_ISREG(status.st_mode) ? Kind::file : Kind::other;
}

bool readFails(int descriptor) {
  switch (kindOf(descriptor)) {
    case Kind::socket:
      return fails(FaultyCall::receive);
    case Kind::pipe:
      return fails(FaultyCall::pipeRead);
    case Kind::file:
      return fails(FaultyCall::fileRead);
    default:
      return false;
  }
}

bool writeFails(int descriptor) {
  switch (kindOf(descriptor)) {
    case Kind::socket:
      return fails(FaultyCall::send);
    case Kind::pipe:
      return fails(FaultyCall::pipeWrite);
    case Kind::standardError:
      return fails(FaultyCall::logWrite);
    default:
      return false;
  }
}

/// Returns true if this accept has to fail. Without a pending connection it neither fails
/// nor counts. For ECONNABORTED and EPROTO, the pending connection is closed.
bool acceptFails(int listener) {
  pollfd at{listener, POLLIN, 0};
  static auto* const realPoll = next<int(pollfd*, nfds_t, int)>("poll");
  if (realPoll(&at, 1, 0) <= 0 || !fails(FaultyCall::accept)) return false;
  const int error = errno;
  if (error == ECONNABORTED || error == EPROTO) {
    static auto* const realAccept = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
    const int aborted = realAccept(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (aborted >= 0) ::close(aborted);
  }
  errno = error;
  return true;
}

}  // namespace

extern "C" {

int accept(int listener, sockaddr* address, socklen_t* size) {
  static auto* const real = next<decltype(accept)>("accept");
  return acceptFails(listener) ? -1 : real(listener, address, size);
}

int accept4(int listener, sockaddr* address, socklen_t* size, int flags) {
  static auto* const real = next<decltype(accept4)>("accept4");
  return acceptFails(listener) ? -1 : real(listener, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static auto* const real = next<int(int, int, int)>("socket");
  return domain == AF_INET && fails(FaultyCall::socket) ? -1 : real(domain, type, protocol);
}

// An interrupted connect continues in the kernel.
int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static auto* const real = next<decltype(connect)>("connect");
  if (!fails(FaultyCall::connect)) return real(descriptor, address, size);
  const int error = errno;
  if (error == EINTR) real(descriptor, address, size);
  errno = error;
  return -1;
}

int bind(int descriptor, const sockaddr* address, socklen_t size) noexcept {
  static auto* const real = next<int(int, const sockaddr*, socklen_t)>("bind");
  return fails(FaultyCall::bind) ? -1 : real(descriptor, address, size);
}

int listen(int descriptor, int backlog) noexcept {
  static auto* const real = next<int(int, int)>("listen");
  return fails(FaultyCall::listen) ? -1 : real(descriptor, backlog);
}

ssize_t recv(int descriptor, void* into, size_t size, int flags) {
  static auto* const real = next<decltype(recv)>("recv");
  if (size > 1 && fails(FaultyCall::shortReceive)) return real(descriptor, into, 1, flags);
  return fails(FaultyCall::receive) ? -1 : real(descriptor, into, size, flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static auto* const real = next<decltype(recvmsg)>("recvmsg");
  return fails(FaultyCall::receive) ? -1 : real(descriptor, message, flags);
}

ssize_t send(int descriptor, const void* from, size_t size, int flags) {
  static auto* const real = next<decltype(send)>("send");
  return fails(FaultyCall::send) ? -1 : real(descriptor, from, size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static auto* const real = next<decltype(sendmsg)>("sendmsg");
  static auto* const realSend = next<decltype(send)>("send");
  if (message->msg_iovlen > 0 && fails(FaultyCall::shortSend))
    return realSend(descriptor, message->msg_iov[0].iov_base, 1, flags);
  return fails(FaultyCall::send) ? -1 : real(descriptor, message, flags);
}

ssize_t read(int descriptor, void* into, size_t size) {
  static auto* const real = next<decltype(read)>("read");
  return readFails(descriptor) ? -1 : real(descriptor, into, size);
}

ssize_t write(int descriptor, const void* from, size_t size) {
  static auto* const real = next<decltype(write)>("write");
  return writeFails(descriptor) ? -1 : real(descriptor, from, size);
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static auto* const real = next<decltype(writev)>("writev");
  return writeFails(descriptor) ? -1 : real(descriptor, parts, count);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static auto* const real = next<decltype(poll)>("poll");
  return fails(FaultyCall::poll) ? -1 : real(descriptors, count, timeout);
}

int epoll_ctl(int epoll, int operation, int descriptor, epoll_event* event) noexcept {
  static auto* const real = next<int(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_ADD && fails(FaultyCall::epollAdd)) return -1;
  if (operation == EPOLL_CTL_MOD && fails(FaultyCall::epollModify)) return -1;
  return real(epoll, operation, descriptor, event);
}

int epoll_wait(int epoll, epoll_event* events, int count, int timeout) {
  static auto* const real = next<decltype(epoll_wait)>("epoll_wait");
  return fails(FaultyCall::epollWait) ? -1 : real(epoll, events, count, timeout);
}

int timerfd_settime(int timer, int flags, const itimerspec* value, itimerspec* old) noexcept {
  static auto* const real = next<int(int, int, const itimerspec*, itimerspec*)>("timerfd_settime");
  return fails(FaultyCall::setTimer) ? -1 : real(timer, flags, value, old);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static auto* const real = next<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (clock == CLOCK_REALTIME && fails(FaultyCall::stepClock)) time->tv_sec += std::exchange(errno, 0);
  return result;
}

int ioctl(int descriptor, unsigned long request, ...) noexcept {
  static auto* const real = next<int(int, unsigned long, void*)>("ioctl");
  va_list arguments;
  va_start(arguments, request);
  void* const argument = va_arg(arguments, void*);
  va_end(arguments);
  if (request == FIONBIO && fails(FaultyCall::setNonBlocking)) return -1;
  return real(descriptor, request, argument);
}

}  // extern "C"
