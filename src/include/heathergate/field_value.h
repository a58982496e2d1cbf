#ifndef HEATHERGATE_FIELD_VALUE_H_
#define HEATHERGATE_FIELD_VALUE_H_

#include <string_view>

namespace heathergate {

/// Whether a text arrives unchanged as the value of a header field (RFC 9110,
/// 5.5): not empty, no control characters but tabs inside, no space or tab at
/// either end.
bool IsFieldValue(std::string_view text);

/// Whether a character ends a line, or a text, for a reader of a head, so that
/// no text of one may hold it.
bool EndsLine(char c);

}  // namespace heathergate

#endif  // HEATHERGATE_FIELD_VALUE_H_
