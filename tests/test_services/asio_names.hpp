#pragma once

// clang-format off: Boost 1.74 uses std::exchange without including its header, so that <utility> must come first.
#include <utility>
// clang-format on
#include <boost/asio.hpp>
#include <chrono>

/// Loopback services for the real daemon: hosts, a counter service and discovery. All services and their
/// handlers run on the single thread of the io_context passed to them, which must outlive them.
namespace merlinbridge::test_services {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using WallClock = std::chrono::steady_clock;

}  // namespace merlinbridge::test_services
