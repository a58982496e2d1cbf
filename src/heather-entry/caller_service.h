#ifndef HEATHER_ENTRY_CALLER_SERVICE_H_
#define HEATHER_ENTRY_CALLER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "heather-entry/work_answer.h"
#include "heather-entry/work_request.h"
#include "heatherlever/kind_spec.h"

namespace heather_entry {

/// What the callers' HTTP server asks of the rest of the entry host. Every
/// function may be called from any thread.
class CallerService {
 public:
  using Done = std::function<void(const WorkAnswer&)>;

  virtual ~CallerService() = default;

  /// The kind of work of a name; nothing for an unknown name.
  virtual std::optional<heatherlever::KindSpec> Kind(
      const std::string& name) const = 0;

  /// Names of the kinds of work, for messages.
  virtual std::vector<std::string> KindNames() const = 0;

  /// Whether a configuration and an epoch are in force.
  virtual bool Ready() const = 0;

  /// Runs a request; `done` runs once, on any thread.
  virtual void Submit(const WorkRequest& request, Done done) = 0;

  /// Withdraws a request by its exchange id. No effect if it has ended.
  virtual void Cancel(const std::string& exchange_id) = 0;

  /// The answer to a look-up, as JSON; blocks shortly.
  virtual std::string LookUp(const std::string& kind,
                             std::uint32_t client_address) = 0;
};

}  // namespace heather_entry

#endif  // HEATHER_ENTRY_CALLER_SERVICE_H_
