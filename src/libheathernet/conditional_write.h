#ifndef LIBHEATHERNET_CONDITIONAL_WRITE_H_
#define LIBHEATHERNET_CONDITIONAL_WRITE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "heathernet/table_entry.h"
#include "heathernet/table_guard.h"
#include "heathernet/table_value.h"
#include "heathernet/write_result.h"
#include "platform_transport.h"

namespace heathernet {

/// One conditional write to the table, from its first attempt until it is
/// settled. The transaction also stores the write's identifier in a marker row,
/// by which a lost answer is settled.
class ConditionalWrite {
 public:
  /// `guards` starts with the guard of the key that the write is about.
  ConditionalWrite(PlatformTransport& transport,
                   std::vector<TableGuard> guards,
                   std::vector<TableEntry> entries,
                   std::string marker_key);

  /// Runs until it is settled or the deadline comes. Throws PlatformError.
  WriteResult Run(PlatformTransport::Clock::time_point deadline);

 private:
  std::optional<WriteResult> Attempt();
  std::optional<WriteResult> ReadBack();
  std::optional<TableValue> Read(const std::string& key);
  bool IsOwnMarker(const std::optional<TableValue>& marker) const;
  WriteResult SettledWritten(std::int64_t version);
  WriteResult SettledConflict();

  PlatformTransport& transport_;
  const std::vector<TableGuard> guards_;
  const std::string marker_key_;
  const std::string id_;
  std::vector<TableEntry> entries_;
  PlatformTransport::Clock::time_point deadline_;
  bool answer_lost_ = false;
};

}  // namespace heathernet

#endif  // LIBHEATHERNET_CONDITIONAL_WRITE_H_
