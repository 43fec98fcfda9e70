#pragma once

#include <iosfwd>
#include <stdexcept>

namespace merlinbridge::benchlink {

// What came in cannot be a batch of the wire; the text names the message and the field.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Answers batches until the input ends between two of them. Throws BadInput.
void serve(std::istream& in, std::ostream& out);

}  // namespace merlinbridge::benchlink
