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

// What the signal handlers may touch.
volatile std::sig_atomic_t terminateCame = 0;    // NOLINT(readability-identifier-naming): not a constant
volatile std::sig_atomic_t hangUpCame = 0;       // NOLINT(readability-identifier-naming): not a constant
volatile std::sig_atomic_t wakeDescriptor = -1;  // NOLINT(readability-identifier-naming): not a constant

constexpr std::array kCaught{SIGTERM, SIGINT, SIGHUP};

void onSignal(int number) {
  const int saved = errno;
  (number == SIGHUP ? hangUpCame : terminateCame) = 1;
  const char byte = 0;
  [[maybe_unused]] const ssize_t written = ::write(wakeDescriptor, &byte, 1);
  errno = saved;
}

// A signal that comes after the flag was cleared sets it again.
bool cameSinceLastLook(volatile std::sig_atomic_t& flag) {
  if (flag == 0) return false;
  flag = 0;
  return true;
}

}  // namespace

SignalWatch::SignalWatch() {
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "a pipe for signals");
  readEnd_ = net::Descriptor(ends[0]);
  writeEnd_ = net::Descriptor(ends[1]);
  wakeDescriptor = writeEnd_.get();
  for (const int number : kCaught) std::signal(number, onSignal);
}

SignalWatch::~SignalWatch() {
  for (const int number : kCaught) std::signal(number, SIG_DFL);
  wakeDescriptor = -1;
}

void SignalWatch::deliverTo(net::EventLoop& loop, Handler handler) {
  loop_ = &loop;
  handler_ = std::move(handler);
  wakes_ = std::make_unique<net::asio::posix::basic_stream_descriptor<net::Strand>>(loop.strand);
  check();
}

void SignalWatch::stopDelivery() {
  if (wakes_ && wakes_->is_open()) wakes_->release();
  wakes_.reset();
  waiting_ = false;
}

void SignalWatch::check() {
  if (!wakes_) return;
  if (cameSinceLastLook(hangUpCame)) handler_(Signal::hangUp);
  if (cameSinceLastLook(terminateCame)) handler_(Signal::terminate);
  waitForWake();
}

// Where the system refuses the wait, the next check() asks for it again.
void SignalWatch::waitForWake() {
  if (waiting_) return;
  net::Error error;
  if (!wakes_->is_open()) wakes_->assign(readEnd_.get(), error);
  if (error) return;
  waiting_ = true;
  wakes_->async_wait(net::asio::posix::descriptor_base::wait_read, [this](const net::Error& waitError) {
    if (waitError == net::asio::error::operation_aborted) return;
    waiting_ = false;
    emptyPipe();
    check();
    loop_->endTurn();
  });
}

void SignalWatch::emptyPipe() {
  std::array<char, 64> bytes{};
  while (::read(readEnd_.get(), bytes.data(), bytes.size()) > 0) {
  }
}

}  // namespace merlinbridge::daemon
