#pragma once

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <system_error>
#include <thread>

namespace merlinbridge::daemon {

/// While the program starts, a system call that failed for want of something is made again for so long: well
/// under the time in which a gateway has to be ready.
inline constexpr auto kStartRetryTime = std::chrono::seconds(4);
inline constexpr auto kStartRetryPause = std::chrono::milliseconds(20);

/// Whether a call that failed with this errno may succeed soon.
inline bool passesSoon(int error) {
  for (const int passing : {EINTR, EAGAIN, EIO, ENFILE, EMFILE, ENOBUFS, ENOMEM, ENOSPC, EADDRNOTAVAIL})
    if (error == passing) return true;
  return false;
}

/// Calls `step` until it throws no error that passes soon, or the time is over; then what it throws is passed
/// on. `onRetry` is called with the error's text before each further call.
template <class Step, class OnRetry>
auto retryWhileStarting(const Step& step, const OnRetry& onRetry) {
  const auto end = std::chrono::steady_clock::now() + kStartRetryTime;
  const auto mayRetry = [end](int error) {
    return passesSoon(error) && std::chrono::steady_clock::now() < end;
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
