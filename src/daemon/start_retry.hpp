#pragma once

#include <boost/system/system_error.hpp>
#include <cerrno>
#include <chrono>
#include <string_view>
#include <system_error>
#include <thread>

namespace merlinbridge::daemon {

/// How long a start-up step is retried after transient errors: well below the time within which a gateway has
/// to be ready.
inline constexpr auto kStartRetryTime = std::chrono::seconds(4);
/// Pause between two calls of a start-up step.
inline constexpr auto kStartRetryPause = std::chrono::milliseconds(20);

/// Whether a call that failed with this errno value may soon succeed.
inline bool isTransient(int error) {
  for (const int transient : {EINTR, EAGAIN, EIO, ENFILE, EMFILE, ENOBUFS, ENOMEM, ENOSPC, EADDRNOTAVAIL})
    if (error == transient) return true;
  return false;
}

/// Calls `step` again as long as it throws a transient system error, for kStartRetryTime at most; all other
/// exceptions are passed on. `onRetry` is called with the error's text before each retry. Blocks the thread,
/// so it must only be used before the event loop runs.
template <class Step, class OnRetry>
auto retryWhileStarting(const Step& step, const OnRetry& onRetry) {
  const auto end = std::chrono::steady_clock::now() + kStartRetryTime;
  const auto mayRetry = [end](int error) {
    return isTransient(error) && std::chrono::steady_clock::now() < end;
  };
  while (true) {
    try {
      return step();
    } catch (const boost::system::system_error& e) {  // thrown by Asio
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
