#ifndef LIBHEATHERNET_MARKER_ROWS_H_
#define LIBHEATHERNET_MARKER_ROWS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace heathernet {

/// The rows in which one client's conditional writes leave their identifiers.
/// A row serves one write at a time. The row of a write that was not settled
/// is never used again: the write may still take effect and replace it.
class MarkerRows {
 public:
  explicit MarkerRows(std::string client_id);

  /// A row that no write uses; its key is `writes/<client id>/<number>`.
  std::int64_t Take();

  /// Gives back the row of a settled write.
  void Return(std::int64_t row);

  std::string Key(std::int64_t row) const;

 private:
  const std::string client_id_;
  std::mutex mutex_;
  std::int64_t next_row_ = 0;
  std::vector<std::int64_t> free_rows_;
};

}  // namespace heathernet

#endif  // LIBHEATHERNET_MARKER_ROWS_H_
