#ifndef HEATHER_STANDIN_TABLE_STORE_H_
#define HEATHER_STANDIN_TABLE_STORE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace heather_standin {

/// A transactional table that speaks a subset of etcd's v3 JSON gateway: range
/// and txn with compares of MOD, VERSION and CREATE. Keys and values are
/// base64, 64-bit numbers are strings. Malformed requests throw StandinError.
class TableStore {
 public:
  /// Answers `POST /v3/kv/range`: key, range_end and limit.
  nlohmann::json Range(const nlohmann::json& request);

  /// Answers `POST /v3/kv/txn`: compare, success and failure, whose operations
  /// are requestPut, requestRange and requestDeleteRange.
  nlohmann::json Transaction(const nlohmann::json& request);

 private:
  struct Row {
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
  };

  nlohmann::json RangeLocked(const nlohmann::json& request) const;
  nlohmann::json Apply(const nlohmann::json& operation, bool& changed);
  nlohmann::json Delete(const nlohmann::json& request, bool& changed);
  void Put(const nlohmann::json& request);
  bool Holds(const nlohmann::json& compare) const;
  nlohmann::json Header() const;

  std::mutex mutex_;
  std::map<std::string, Row> rows_;
  std::int64_t revision_ = 1;
};

}  // namespace heather_standin

#endif  // HEATHER_STANDIN_TABLE_STORE_H_
