#include "heathergate/field_value.h"

#include <algorithm>

namespace heathergate {
namespace {

constexpr unsigned char kDelete = 0x7f;

bool IsSpace(char c) {
  return c == ' ' || c == '\t';
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == kDelete;
}

}  // namespace

bool IsFieldValue(std::string_view text) {
  return !text.empty() && !IsSpace(text.front()) && !IsSpace(text.back()) &&
         std::none_of(text.begin(), text.end(),
                      [](char c) { return IsControl(c) && c != '\t'; });
}

bool EndsLine(char c) {
  return c == '\r' || c == '\n' || c == '\0';
}

}  // namespace heathergate
