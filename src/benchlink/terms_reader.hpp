#pragma once

#include <string>
#include <vector>

#include "benchlink/fields.hpp"
#include "terms.hpp"

namespace merlinbridge::benchlink {

Terms readTerms(const Fields& profile);
std::vector<std::string> loadFieldNames(const Fields& profile);

}  // namespace merlinbridge::benchlink
