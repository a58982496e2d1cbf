#include "etcd_codec.h"

#include <absl/strings/escaping.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "heathernet/platform_error.h"

namespace heathernet {
namespace {

using Json = nlohmann::json;

Json RangeOf(const std::string& key) {
  return {{"key", absl::Base64Escape(key)}};
}

// The first key beyond every key with this prefix; "\0", which etcd takes as
// no end, if there is none.
std::string EndOfPrefix(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last != 0xFF) {
      prefix.back() = static_cast<char>(last + 1);
      return prefix;
    }
    prefix.pop_back();
  }
  return {1, '\0'};
}

[[noreturn]] void ThrowBadAnswer(const std::string& found) {
  throw PlatformError(PlatformError::Kind::kBadAnswer,
                      "the table's answer cannot be read: " + found);
}

std::string Decoded(const Json& row, const char* field) {
  std::string text;
  if (!absl::Base64Unescape(row.value(field, ""), &text)) {
    ThrowBadAnswer(std::string("field '") + field + "' is not base64");
  }
  return text;
}

std::int64_t Number(const Json& object, const char* field) {
  return std::stoll(object.at(field).get<std::string>());
}

std::map<std::string, TableValue> Rows(const Json& range) {
  std::map<std::string, TableValue> rows;
  // An empty list is left out of the answer.
  for (const Json& row : range.value("kvs", Json::array())) {
    rows[Decoded(row, "key")] = {Decoded(row, "value"),
                                 Number(row, "mod_revision")};
  }
  return rows;
}

// Runs a parser and turns its errors into the layer's.
template <typename Parser>
auto Parsed(const std::string& body, const Parser& parser) {
  try {
    return parser(Json::parse(body));
  } catch (const Json::exception& error) {
    ThrowBadAnswer(error.what());
  } catch (const std::logic_error& error) {
    ThrowBadAnswer(error.what());
  }
}

}  // namespace

std::string EtcdCodec::KeyRequest(const std::string& key) {
  return RangeOf(key).dump();
}

std::string EtcdCodec::PrefixRequest(const std::string& prefix) {
  Json request = RangeOf(prefix);
  request["range_end"] = absl::Base64Escape(EndOfPrefix(prefix));
  return request.dump();
}

std::string EtcdCodec::SwapRequest(const std::vector<TableGuard>& guards,
                                   const std::vector<TableEntry>& entries,
                                   const std::string& marker_key) {
  Json puts = Json::array();
  for (const TableEntry& entry : entries) {
    puts.push_back({{"requestPut",
                     {{"key", absl::Base64Escape(entry.key)},
                      {"value", absl::Base64Escape(entry.value)}}}});
  }
  Json compares = Json::array();
  for (const TableGuard& guard : guards) {
    Json compare = RangeOf(guard.key);
    compare["target"] = "MOD";
    compare["result"] = "EQUAL";
    compare["mod_revision"] = std::to_string(guard.version);
    compares.push_back(std::move(compare));
  }
  const Json read_marker = {{"requestRange", RangeOf(marker_key)}};
  return Json{{"compare", compares},
              {"success", puts},
              {"failure", Json::array({read_marker})}}
      .dump();
}

std::map<std::string, TableValue> EtcdCodec::ParseRows(
    const std::string& body) {
  return Parsed(body, [](const Json& answer) { return Rows(answer); });
}

EtcdCodec::SwapAnswer EtcdCodec::ParseSwap(const std::string& body) {
  return Parsed(body, [](const Json& answer) {
    SwapAnswer swap;
    // A false flag is left out of the answer.
    swap.written = answer.value("succeeded", false);
    if (swap.written) {
      swap.version = Number(answer.at("header"), "revision");
      return swap;
    }
    const auto rows = Rows(answer.at("responses").at(0).at("response_range"));
    if (!rows.empty()) {
      swap.marker = rows.begin()->second;
    }
    return swap;
  });
}

}  // namespace heathernet
