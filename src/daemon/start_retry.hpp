#pragma once

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <system_error>
#include <thread>

namespace merlinbridge::daemon {

/// For so long a start-up step is repeated that failed for want of something: well under the time in which a
/// gateway has to be ready.
inline constexpr auto kStartRetryTime = std::chrono::seconds(4);
/// Between two calls of a start-up step.
inline constexpr auto kStartRetryPause = std::chrono::milliseconds(20);

/// Whether a call that failed with this errno may succeed soon.
inline bool isTransient(int error) {
  for (const int transient : {EINTR, EAGAIN, EIO, ENFILE, EMFILE, ENOBUFS, ENOMEM, ENOSPC, EADDRNOTAVAIL})
    if (error == transient) return true;
  return false;
}

/// Calls `step` until it throws no transient system error, or until kStartRetryTime is over; then what it
/// throws is passed on. `onRetry` is called with the error's text before each further call. Blocks the
/// thread: only for use before the event loop runs.
template <class Step, class OnRetry>
auto retryWhileStarting(const Step& step, const OnRetry& onRetry) {
  const auto end = std::chrono::steady_clock::now() + kStartRetryTime;
  const auto mayRetry = [end](int error) {
    return isTransient(error) && std::chrono::steady_clock::now() < end;
  };
  while (true) {
    try {
      return step();
    } catch (const boost::system::system_error& e) {  // what Asio throws
      if (e.code().category() != boost::system::system_category() || !mayRetry(e.code().value())) throw;
      onRetry(std::string_view(e.what()));
    } catch (const std::system_error& e) {
      if (!mayRetry(e.code().value())) throw;
      onRetry(std::string_view(e.what()));
    }
    std::this_thread::sleep_for(kStartRetryPause);
  }
}

}  // namespace merlinbridge::daemon
