#include "heatherlever/ipv4.h"

#include <charconv>

namespace heatherlever {
namespace {

constexpr int kOctets = 4;
constexpr int kOctetBits = 8;
constexpr unsigned kMaxOctet = 255;

}  // namespace

std::optional<std::uint32_t> ParseIpv4(std::string_view text) {
  const char* next = text.data();
  const char* end = text.data() + text.size();
  std::uint32_t address = 0;
  for (int i = 0; i < kOctets; ++i) {
    if (i > 0 && (next == end || *next++ != '.')) {
      return std::nullopt;
    }
    const char* begin = next;
    unsigned octet = 0;
    const auto result = std::from_chars(next, end, octet);
    if (result.ec != std::errc() || octet > kMaxOctet) {
      return std::nullopt;
    }
    // Others take an octet with a leading zero for octal, or for an error.
    if (*begin == '0' && result.ptr - begin > 1) {
      return std::nullopt;
    }
    address = (address << kOctetBits) | octet;
    next = result.ptr;
  }
  if (next != end) {
    return std::nullopt;
  }
  return address;
}

std::string FormatIpv4(std::uint32_t address) {
  std::string text;
  for (int i = kOctets - 1; i >= 0; --i) {
    text += std::to_string((address >> (i * kOctetBits)) & kMaxOctet);
    if (i > 0) {
      text += '.';
    }
  }
  return text;
}

}  // namespace heatherlever
