#ifndef HEATHERNET_PLATFORM_CLIENT_H_
#define HEATHERNET_PLATFORM_CLIENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heatherlever/host_record.h"
#include "heathernet/platform_settings.h"
#include "heathernet/platform_statistics.h"
#include "heathernet/stored_object.h"
#include "heathernet/table_entry.h"
#include "heathernet/table_guard.h"
#include "heathernet/table_value.h"
#include "heathernet/write_result.h"

namespace heathernet {

/// Blocking client of the platform's table, object store and host list.
///
/// Calls may come from several threads at once; each lasts at most
/// PlatformSettings::call_deadline and takes a fresh connection. Reads are
/// repeated with back-off until the deadline. Calls without a WriteResult
/// throw PlatformError when they fail.
class PlatformClient {
 public:
  /// InvalidArgument if the address, port, client id, a rate or a duration is
  /// missing or not positive.
  static absl::StatusOr<std::unique_ptr<PlatformClient>> Create(
      const PlatformSettings& settings);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  /// The row of a key; nothing if there is none.
  std::optional<TableValue> Get(const std::string& key);

  /// Every row whose key starts with `prefix`, by key.
  std::map<std::string, TableValue> ListPrefix(const std::string& prefix);

  /// Replaces the value of `key` if it is at `expected_version`
  /// (kAbsentVersion: if it has no row), and stores the entries of `also` in
  /// the same transaction. Every row of `guards` has to be at its version as
  /// well, otherwise it is a conflict. A lost answer is settled by reading
  /// back. Never throws PlatformError.
  WriteResult CompareAndSwap(const std::string& key,
                             std::int64_t expected_version,
                             const std::string& value,
                             const std::vector<TableEntry>& also = {},
                             const std::vector<TableGuard>& guards = {});

  /// An object by its path, `bucket/name`; nothing if there is none.
  std::optional<StoredObject> GetObject(const std::string& path);

  /// Stores an object and returns its new tag. Storing is idempotent, so a
  /// lost answer is settled by storing the same body again.
  std::string PutObject(const std::string& path, const std::string& body);

  /// Stores an object if its tag is `expected_etag` (empty: if there is no
  /// such object). A lost answer is settled by reading the tag.
  WriteStatus ReplaceObject(const std::string& path,
                            const std::string& body,
                            const std::string& expected_etag);

  /// Live and leaving entry hosts, by name; the list lags.
  std::vector<heatherlever::HostRecord> HostList();

  /// Adds or replaces this host in the list.
  void Register(const heatherlever::HostRecord& host);

  /// Marks a host of the list as leaving.
  void MarkLeaving(const std::string& name);

  /// Takes a host off the list; no failure if it is not there.
  void Deregister(const std::string& name);

  PlatformStatistics statistics() const;

 private:
  class Impl;
  explicit PlatformClient(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace heathernet

#endif  // HEATHERNET_PLATFORM_CLIENT_H_
