#include "heather-standin/table_store.h"

#include <absl/strings/escaping.h>

#include <array>
#include <limits>
#include <string_view>

#include "heather-standin/standin_error.h"

namespace heather_standin {
namespace {

using Json = nlohmann::json;

std::string Decoded(const Json& request, const char* field) {
  std::string text;
  if (!absl::Base64Unescape(request.value(field, ""), &text)) {
    throw StandinError(std::string("field '") + field + "' is not base64");
  }
  return text;
}

// The gateway takes 64-bit numbers as strings or as numbers.
std::int64_t Number(const Json& request, const char* field) {
  const auto found = request.find(field);
  if (found == request.end()) {
    return 0;
  }
  return found->is_string() ? std::stoll(found->get<std::string>())
                            : found->get<std::int64_t>();
}

// The gateway takes the names of operations in both spellings.
const Json* Operation(const Json& operation,
                      const char* camel_case,
                      const char* snake_case) {
  for (const char* name : {camel_case, snake_case}) {
    if (const auto found = operation.find(name); found != operation.end()) {
      return &*found;
    }
  }
  return nullptr;
}

bool Compare(std::int64_t actual,
             const std::string& result,
             std::int64_t wanted) {
  if (result == "EQUAL") {
    return actual == wanted;
  }
  if (result == "NOT_EQUAL") {
    return actual != wanted;
  }
  if (result == "GREATER") {
    return actual > wanted;
  }
  if (result == "LESS") {
    return actual < wanted;
  }
  throw StandinError("compare result '" + result + "' is not known");
}

// etcd's meaning of range_end: absent for the key alone, "\0" for every key
// from `key` on, otherwise the first key beyond the range.
bool InRange(const std::string& key,
             const std::string& first,
             const std::string& end) {
  if (end.empty()) {
    return key == first;
  }
  return key >= first && (end == std::string_view("\0", 1) || key < end);
}

}  // namespace

Json TableStore::Range(const Json& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return RangeLocked(request);
}

Json TableStore::Transaction(const Json& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  bool holds = true;
  for (const Json& compare : request.value("compare", Json::array())) {
    holds = holds && Holds(compare);
  }
  ++revision_;
  bool changed = false;
  Json responses = Json::array();
  for (const Json& operation :
       request.value(holds ? "success" : "failure", Json::array())) {
    responses.push_back(Apply(operation, changed));
  }
  if (!changed) {
    --revision_;
  }
  Json answer = {{"header", Header()}, {"responses", std::move(responses)}};
  if (holds) {
    answer["succeeded"] = true;
  }
  return answer;
}

Json TableStore::RangeLocked(const Json& request) const {
  const std::string first = Decoded(request, "key");
  const std::string end = Decoded(request, "range_end");
  const std::int64_t limit = Number(request, "limit");
  const auto most = limit > 0 ? static_cast<std::size_t>(limit)
                              : std::numeric_limits<std::size_t>::max();
  Json rows = Json::array();
  std::int64_t count = 0;
  for (auto row = rows_.lower_bound(first);
       row != rows_.end() && InRange(row->first, first, end); ++row) {
    ++count;
    if (rows.size() == most) {
      continue;
    }
    rows.push_back(
        {{"key", absl::Base64Escape(row->first)},
         {"value", absl::Base64Escape(row->second.value)},
         {"create_revision", std::to_string(row->second.create_revision)},
         {"mod_revision", std::to_string(row->second.mod_revision)},
         {"version", std::to_string(row->second.version)}});
  }
  Json answer = {{"header", Header()}};
  if (count > 0) {
    answer["kvs"] = std::move(rows);
    answer["count"] = std::to_string(count);
  }
  return answer;
}

Json TableStore::Apply(const Json& operation, bool& changed) {
  if (const Json* put = Operation(operation, "requestPut", "request_put")) {
    Put(*put);
    changed = true;
    return {{"response_put", {{"header", Header()}}}};
  }
  if (const Json* range =
          Operation(operation, "requestRange", "request_range")) {
    return {{"response_range", RangeLocked(*range)}};
  }
  if (const Json* removal =
          Operation(operation, "requestDeleteRange", "request_delete_range")) {
    return {{"response_delete_range", Delete(*removal, changed)}};
  }
  throw StandinError("operation '" + operation.dump() + "' is not known");
}

Json TableStore::Delete(const Json& request, bool& changed) {
  const std::string first = Decoded(request, "key");
  const std::string end = Decoded(request, "range_end");
  std::int64_t deleted = 0;
  auto row = rows_.lower_bound(first);
  while (row != rows_.end() && InRange(row->first, first, end)) {
    row = rows_.erase(row);
    ++deleted;
  }
  changed = changed || deleted > 0;
  return {{"header", Header()}, {"deleted", std::to_string(deleted)}};
}

void TableStore::Put(const Json& request) {
  Row& row = rows_[Decoded(request, "key")];
  row.value = Decoded(request, "value");
  row.mod_revision = revision_;
  ++row.version;
  if (row.version == 1) {
    row.create_revision = revision_;
  }
}

bool TableStore::Holds(const Json& compare) const {
  const auto found = rows_.find(Decoded(compare, "key"));
  const Row row = found == rows_.end() ? Row{} : found->second;
  const std::string result = compare.value("result", "EQUAL");
  const std::string target = compare.value("target", "VERSION");
  if (target == "MOD") {
    return Compare(row.mod_revision, result, Number(compare, "mod_revision"));
  }
  if (target == "VERSION") {
    return Compare(row.version, result, Number(compare, "version"));
  }
  if (target == "CREATE") {
    return Compare(row.create_revision, result,
                   Number(compare, "create_revision"));
  }
  throw StandinError("compare target '" + target + "' is not known");
}

Json TableStore::Header() const {
  return {{"revision", std::to_string(revision_)}};
}

}  // namespace heather_standin
