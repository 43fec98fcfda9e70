#include "daemon/signal_watch.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace merlinbridge::daemon {
namespace {

// The only state that the signal handler uses: a flag for each Signal, and the write end of the pipe.
volatile std::sig_atomic_t terminateReceived = 0;  // NOLINT(readability-identifier-naming): not a constant
volatile std::sig_atomic_t hangUpReceived = 0;     // NOLINT(readability-identifier-naming): not a constant
volatile std::sig_atomic_t wakeDescriptor = -1;    // NOLINT(readability-identifier-naming): not a constant

constexpr std::array kCaughtSignals{SIGTERM, SIGINT, SIGHUP};
constexpr std::size_t kWakeBytesPerRead = 64;

void onSignal(int number) {
  const int savedErrno = errno;
  (number == SIGHUP ? hangUpReceived : terminateReceived) = 1;
  const char byte = 0;
  [[maybe_unused]] const ssize_t written = ::write(wakeDescriptor, &byte, 1);
  errno = savedErrno;
}

// Returns whether the flag was set, and clears it. A signal that arrives later sets it again.
bool takeFlag(volatile std::sig_atomic_t& flag) {
  if (flag == 0) return false;
  flag = 0;
  return true;
}

}  // namespace

SignalWatch::SignalWatch() {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot create the signal pipe");
  readEnd_ = net::Descriptor(ends[0]);
  writeEnd_ = net::Descriptor(ends[1]);
  wakeDescriptor = writeEnd_.get();
  for (const int number : kCaughtSignals) std::signal(number, onSignal);
}

SignalWatch::~SignalWatch() {
  for (const int number : kCaughtSignals) std::signal(number, SIG_DFL);
  wakeDescriptor = -1;
}

void SignalWatch::deliverTo(net::EventLoop& loop, Handler handler) {
  loop_ = &loop;
  handler_ = std::move(handler);
  wakeStream_ = std::make_unique<net::asio::posix::basic_stream_descriptor<net::Strand>>(loop.strand);
  deliverPending();
}

void SignalWatch::stopDelivery() {
  if (wakeStream_ && wakeStream_->is_open()) wakeStream_->release();
  wakeStream_.reset();
  waiting_ = false;
}

void SignalWatch::deliverPending() {
  if (!wakeStream_) return;
  if (takeFlag(hangUpReceived)) handler_(Signal::hangUp);
  if (takeFlag(terminateReceived)) handler_(Signal::terminate);
  waitForWake();
}

// If the wait cannot be started, the next deliverPending() tries again.
void SignalWatch::waitForWake() {
  if (waiting_) return;
  net::Error error;
  if (!wakeStream_->is_open()) wakeStream_->assign(readEnd_.get(), error);
  if (error) return;
  waiting_ = true;
  // Runs on the loop's strand; stopDelivery() aborts the wait before `this` is destroyed.
  wakeStream_->async_wait(net::asio::posix::descriptor_base::wait_read, [this](const net::Error& waitError) {
    if (waitError == net::asio::error::operation_aborted) return;
    waiting_ = false;
    drainPipe();
    deliverPending();
    loop_->endTurn();
  });
}

void SignalWatch::drainPipe() {
  std::array<char, kWakeBytesPerRead> bytes{};
  while (::read(readEnd_.get(), bytes.data(), bytes.size()) > 0) {
  }
}

}  // namespace merlinbridge::daemon
