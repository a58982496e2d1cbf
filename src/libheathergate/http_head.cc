#include "heathergate/http_head.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "heathergate/head_writer.h"

namespace heathergate {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopFields = {
    "connection", "keep-alive",          "proxy-connection",  "te",
    "trailer",    "transfer-encoding",   "upgrade",           "content-length",
    "expect",     "proxy-authorization", "proxy-authenticate"};

char Lower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (SameName(Trim(list.substr(0, comma)), name)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HeaderField& field : fields) {
    if (SameName(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

std::string HttpHead::Value(std::string_view name) const {
  const std::string* value = Find(name);
  return value == nullptr ? std::string() : *value;
}

bool IsHopByHopField(std::string_view name, const std::string* connection) {
  const auto matches = [&](std::string_view known) {
    return SameName(name, known);
  };
  if (std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(), matches)) {
    return true;
  }
  return connection != nullptr && ListContains(*connection, name);
}

std::string PostHead(const std::string& path,
                     const std::string& host,
                     std::size_t body_size) {
  auto head = HeadWriter::ForRequest("POST", path);
  head.AddField("Host", host);
  head.AddField("Content-Length", body_size);
  return std::move(head).Finish();
}

}  // namespace heathergate
