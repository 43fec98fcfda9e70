#pragma once

#include <iosfwd>

namespace merlinbridge::simulator_adapter {

/// Answers batches until the input ends between two of them. Throws configuration::BadInput.
void serve(std::istream& in, std::ostream& out);

}  // namespace merlinbridge::simulator_adapter
