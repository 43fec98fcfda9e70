#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Reads the plain forms of HTTP messages that the tests' own peers exchange with the gateway.
namespace merlinbridge::testing {

/// The value of a header field of `head`, "Name: value"; empty if there is none.
std::string fieldOf(std::string_view head, std::string_view name);

/// The size of the message at the start of `bytes`, whose body is framed by Content-Length; nothing while it
/// is incomplete.
std::optional<std::size_t> completeMessageSize(std::string_view bytes);

}  // namespace merlinbridge::testing
