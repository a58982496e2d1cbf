#ifndef HEATHERLEVER_IPV4_H_
#define HEATHERLEVER_IPV4_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heatherlever {

/// The IPv4 address that dotted text such as 10.1.2.3 names, in host byte
/// order; nothing for other text.
std::optional<std::uint32_t> ParseIpv4(std::string_view text);

/// The dotted text of an IPv4 address in host byte order.
std::string FormatIpv4(std::uint32_t address);

}  // namespace heatherlever

#endif  // HEATHERLEVER_IPV4_H_
