#include "heatherlever/job_message_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "heatherlever/job_message.h"

namespace heatherlever {
namespace {

using nlohmann::json;

json ToJson(const HostId& host) {
  return {host.name, host.incarnation};
}

HostId HostFromJson(const json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>()};
}

json ToJson(const JobKey& key) {
  return {key.kind, key.key};
}

JobKey KeyFromJson(const json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::string>()};
}

json ToJson(const JobAttempt& attempt) {
  return {attempt.term, attempt.view, attempt.sequence};
}

JobAttempt AttemptFromJson(const json& value) {
  return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>(),
          value.at(2).get<std::uint64_t>()};
}

json ToJson(const PoolTerm& term) {
  json members = json::array();
  for (const HostId& member : term.members) {
    members.push_back(ToJson(member));
  }
  return {{"number", term.number}, {"members", std::move(members)}};
}

PoolTerm TermFromJson(const json& value) {
  PoolTerm term;
  term.number = value.at("number").get<std::uint64_t>();
  for (const json& member : value.at("members")) {
    term.members.push_back(HostFromJson(member));
  }
  return term;
}

json ToJson(const JobRecordCopy& copy) {
  const JobRecord& record = copy.record;
  return {
      {"key", ToJson(record.key)},
      {"fingerprint", record.fingerprint},
      {"attempt", ToJson(record.attempt)},
      {"owner", ToJson(record.owner)},
      {"state", static_cast<unsigned>(record.state)},
      {"answer", json::binary_t({record.answer.begin(), record.answer.end()})},
      {"dropped", record.answer_dropped},
      {"deadline_us", copy.until_deadline.count()},
      {"forget_us", copy.until_forgotten.count()}};
}

JobRecordCopy CopyFromJson(const json& value) {
  JobRecordCopy copy;
  JobRecord& record = copy.record;
  record.key = KeyFromJson(value.at("key"));
  record.fingerprint = value.at("fingerprint").get<std::uint64_t>();
  record.attempt = AttemptFromJson(value.at("attempt"));
  record.owner = HostFromJson(value.at("owner"));
  const auto state = value.at("state").get<unsigned>();
  if (state >= kJobStateNames.size()) {
    throw std::out_of_range("no job state has number " + std::to_string(state));
  }
  record.state = static_cast<JobState>(state);
  const auto& answer = value.at("answer").get_binary();
  record.answer.assign(answer.begin(), answer.end());
  record.answer_dropped = value.at("dropped").get<bool>();
  copy.until_deadline = Duration(value.at("deadline_us").get<std::int64_t>());
  copy.until_forgotten = Duration(value.at("forget_us").get<std::int64_t>());
  return copy;
}

json ToJson(const std::vector<JobRecordCopy>& copies) {
  json values = json::array();
  for (const JobRecordCopy& copy : copies) {
    values.push_back(ToJson(copy));
  }
  return values;
}

std::vector<JobRecordCopy> CopiesFromJson(const json& value) {
  std::vector<JobRecordCopy> copies;
  for (const json& copy : value) {
    copies.push_back(CopyFromJson(copy));
  }
  return copies;
}

// One name, writer and reader a type of message body.
template <typename Body>
struct BodyCodec;

template <typename Body>
struct EmptyCodec {
  static json Write(const Body&) { return json::object(); }
  static Body Read(const json&) { return {}; }
};

template <>
struct BodyCodec<JobIntent> {
  static constexpr const char* kName = "intent";
  static json Write(const JobIntent& body) { return ToJson(body.copy); }
  static JobIntent Read(const json& value) { return {CopyFromJson(value)}; }
};

template <>
struct BodyCodec<JobIntentAck> {
  static constexpr const char* kName = "intent-ack";
  static json Write(const JobIntentAck& body) {
    return {{"key", ToJson(body.key)}, {"attempt", ToJson(body.attempt)}};
  }
  static JobIntentAck Read(const json& value) {
    return {KeyFromJson(value.at("key")), AttemptFromJson(value.at("attempt"))};
  }
};

template <>
struct BodyCodec<JobRefusal> {
  static constexpr const char* kName = "refusal";
  static json Write(const JobRefusal& body) {
    return {{"closed", body.closed}, {"successor", ToJson(body.successor)}};
  }
  static JobRefusal Read(const json& value) {
    return {value.at("closed").get<bool>(),
            HostFromJson(value.at("successor"))};
  }
};

template <>
struct BodyCodec<JobResult> {
  static constexpr const char* kName = "result";
  static json Write(const JobResult& body) { return ToJson(body.copy); }
  static JobResult Read(const json& value) { return {CopyFromJson(value)}; }
};

template <>
struct BodyCodec<JobDepose> : EmptyCodec<JobDepose> {
  static constexpr const char* kName = "depose";
};

template <>
struct BodyCodec<JobClose> : EmptyCodec<JobClose> {
  static constexpr const char* kName = "close";
};

template <>
struct BodyCodec<JobReport> {
  static constexpr const char* kName = "report";
  static json Write(const JobReport& body) {
    return {{"closing", body.closing},
            {"seeded", body.seeded},
            {"previous_known", body.previous_known},
            {"previous", ToJson(body.previous)},
            {"uncertain_us", body.uncertain.count()},
            {"records", ToJson(body.records)}};
  }
  static JobReport Read(const json& value) {
    JobReport body;
    body.closing = value.at("closing").get<bool>();
    body.seeded = value.at("seeded").get<bool>();
    body.previous_known = value.at("previous_known").get<bool>();
    body.previous = TermFromJson(value.at("previous"));
    body.uncertain = Duration(value.at("uncertain_us").get<std::int64_t>());
    body.records = CopiesFromJson(value.at("records"));
    return body;
  }
};

template <>
struct BodyCodec<JobSeed> {
  static constexpr const char* kName = "seed";
  static json Write(const JobSeed& body) {
    return {{"uncertain_us", body.uncertain.count()},
            {"records", ToJson(body.records)}};
  }
  static JobSeed Read(const json& value) {
    return {Duration(value.at("uncertain_us").get<std::int64_t>()),
            CopiesFromJson(value.at("records"))};
  }
};

template <>
struct BodyCodec<JobSeedAck> : EmptyCodec<JobSeedAck> {
  static constexpr const char* kName = "seed-ack";
};

template <>
struct BodyCodec<JobHandover> : EmptyCodec<JobHandover> {
  static constexpr const char* kName = "handover";
};

// Tries the types of a body from the index on.
template <std::size_t kIndex = 0>
JobMessageBody BodyFromJson(const std::string& name, const json& value) {
  if constexpr (kIndex == std::variant_size_v<JobMessageBody>) {
    throw std::out_of_range("no job message is named '" + name + "'");
  } else {
    using Body = std::variant_alternative_t<kIndex, JobMessageBody>;
    if (name == BodyCodec<Body>::kName) {
      return BodyCodec<Body>::Read(value);
    }
    return BodyFromJson<kIndex + 1>(name, value);
  }
}

}  // namespace

std::string EncodeJobMessage(const JobMessage& message) {
  json value = {{"to", ToJson(message.to)},
                {"pool", message.pool},
                {"term", message.term},
                {"view", message.view}};
  std::visit(
      [&value](const auto& body) {
        using Codec = BodyCodec<std::decay_t<decltype(body)>>;
        value["type"] = Codec::kName;
        value["body"] = Codec::Write(body);
      },
      message.body);
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

absl::StatusOr<JobMessage> DecodeJobMessage(std::string_view bytes) {
  try {
    const json value = json::from_cbor(bytes);
    JobMessage message;
    message.to = HostFromJson(value.at("to"));
    message.pool = value.at("pool").get<std::string>();
    message.term = value.at("term").get<std::uint64_t>();
    message.view = value.at("view").get<std::uint64_t>();
    message.body =
        BodyFromJson(value.at("type").get<std::string>(), value.at("body"));
    return message;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(std::string("bad job message: ") +
                                      error.what());
  }
}

}  // namespace heatherlever
