#pragma once

#include <iosfwd>

namespace merlinbridge::simulator_adapter {

/// Answers batches until the input ends between two of them. Throws config::ConfigError.
void serve(std::istream& in, std::ostream& out);

}  // namespace merlinbridge::simulator_adapter
