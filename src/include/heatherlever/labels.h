#ifndef HEATHERLEVER_LABELS_H_
#define HEATHERLEVER_LABELS_H_

#include <map>
#include <string>

namespace heatherlever {

/// Labels that operators put on backend servers, regions and kinds of work:
/// key to value, both non-empty words of letters, digits, '.', '-' and '_'.
using Labels = std::map<std::string, std::string>;

}  // namespace heatherlever

#endif  // HEATHERLEVER_LABELS_H_
