#pragma once

#include <iosfwd>

namespace merlinbridge::benchlink {

// Answers batches until the input ends between two of them. Throws configuration::BadInput.
void serve(std::istream& in, std::ostream& out);

}  // namespace merlinbridge::benchlink
