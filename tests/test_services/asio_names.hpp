#pragma once

// clang-format off: Boost 1.74 uses std::exchange without including its header, so that <utility> must come first.
#include <utility>
// clang-format on
#include <boost/asio.hpp>
#include <chrono>

/// Services for the real daemon to talk to on loopback: hosts, a counter service and discovery. All of them
/// run on the one thread of the io_context that they are given, which must outlive them; their handlers run
/// there.
namespace merlinbridge::test_services {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using WallClock = std::chrono::steady_clock;

}  // namespace merlinbridge::test_services
