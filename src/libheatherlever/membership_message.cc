#include "heatherlever/membership_message.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace heatherlever {
namespace {

using Json = nlohmann::json;
using Kind = MembershipMessage::Kind;

// Arrays instead of objects, because the names of fields would take more bytes
// than their values.
constexpr int kFormat = 1;
constexpr std::size_t kMessageFields = 16;

MemberState ReadState(const Json& json) {
  const auto index = json.get<std::size_t>();
  if (index >= kMemberStateCount) {
    throw std::out_of_range("no such member state");
  }
  return static_cast<MemberState>(index);
}

Json Write(const MemberVersion& version) {
  return {version.incarnation, version.refutation,
          static_cast<int>(version.state)};
}

MemberVersion ReadVersion(const Json& json) {
  return {json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint32_t>(),
          ReadState(json.at(2))};
}

Json Write(const MemberRecord& record) {
  return {record.id, record.region, record.failure_domain,
          record.ip, record.port,   Write(record.version)};
}

void Read(const Json& json, MemberRecord& record) {
  record = {json.at(0).get<std::string>(),   json.at(1).get<std::string>(),
            json.at(2).get<std::string>(),   json.at(3).get<std::string>(),
            json.at(4).get<std::uint16_t>(), ReadVersion(json.at(5))};
}

Json Write(const GossipEntry& entry) {
  return {entry.key, entry.version,
          Json::binary(std::vector<std::uint8_t>(entry.payload.begin(),
                                                 entry.payload.end())),
          entry.urgent};
}

void Read(const Json& json, GossipEntry& entry) {
  const auto& payload = json.at(2).get_binary();
  entry = {json.at(0).get<std::string>(), json.at(1).get<std::uint64_t>(),
           std::string(payload.begin(), payload.end()), json.at(3).get<bool>()};
}

Json Write(const MembershipMessage::MemberVersionOf& listed) {
  return {listed.id, Write(listed.version)};
}

void Read(const Json& json, MembershipMessage::MemberVersionOf& listed) {
  listed = {json.at(0).get<std::string>(), ReadVersion(json.at(1))};
}

Json Write(const MembershipMessage::EntryVersionOf& listed) {
  return {listed.key, listed.version};
}

void Read(const Json& json, MembershipMessage::EntryVersionOf& listed) {
  listed = {json.at(0).get<std::string>(), json.at(1).get<std::uint64_t>()};
}

Json Write(const std::string& text) {
  return text;
}

void Read(const Json& json, std::string& text) {
  text = json.get<std::string>();
}

template <typename T>
Json WriteAll(const std::vector<T>& values) {
  Json array = Json::array();
  for (const T& value : values) {
    array.push_back(Write(value));
  }
  return array;
}

template <typename T>
void ReadAll(const Json& json, std::vector<T>& values) {
  if (!json.is_array()) {
    throw std::invalid_argument("an array was expected");
  }
  for (const Json& item : json) {
    Read(item, values.emplace_back());
  }
}

MembershipMessage ReadMessage(const Json& json) {
  if (!json.is_array() || json.size() != kMessageFields + 1 ||
      json.at(0).get<int>() != kFormat) {
    throw std::invalid_argument("no message of this format");
  }
  MembershipMessage message;
  const auto kind = json.at(1).get<std::size_t>();
  if (kind >= MembershipMessage::kKindCount) {
    throw std::out_of_range("no such kind of message");
  }
  message.kind = static_cast<Kind>(kind);
  message.sender = json.at(2).get<std::string>();
  message.incarnation = json.at(3).get<std::uint64_t>();
  message.sequence = json.at(4).get<std::uint64_t>();
  message.neighbor = json.at(5).get<bool>();
  message.target = json.at(6).get<std::string>();
  message.members_digest = json.at(7).get<std::uint64_t>();
  message.entries_digest = json.at(8).get<std::uint64_t>();
  ReadAll(json.at(9), message.members);
  ReadAll(json.at(10), message.entries);
  message.lists_members = json.at(11).get<bool>();
  message.lists_entries = json.at(12).get<bool>();
  ReadAll(json.at(13), message.member_versions);
  ReadAll(json.at(14), message.entry_versions);
  ReadAll(json.at(15), message.wanted_members);
  ReadAll(json.at(16), message.wanted_entries);
  return message;
}

}  // namespace

std::string EncodeMembershipMessage(const MembershipMessage& message) {
  const Json json = {kFormat,
                     static_cast<int>(message.kind),
                     message.sender,
                     message.incarnation,
                     message.sequence,
                     message.neighbor,
                     message.target,
                     message.members_digest,
                     message.entries_digest,
                     WriteAll(message.members),
                     WriteAll(message.entries),
                     message.lists_members,
                     message.lists_entries,
                     WriteAll(message.member_versions),
                     WriteAll(message.entry_versions),
                     WriteAll(message.wanted_members),
                     WriteAll(message.wanted_entries)};
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

absl::StatusOr<MembershipMessage> DecodeMembershipMessage(
    const std::string& bytes) {
  try {
    return ReadMessage(Json::from_cbor(bytes));
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("membership message: ", error.what()));
  }
}

}  // namespace heatherlever
