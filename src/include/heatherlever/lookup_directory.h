#ifndef HEATHERLEVER_LOOKUP_DIRECTORY_H_
#define HEATHERLEVER_LOOKUP_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "heatherlever/lookup_answer.h"
#include "heatherlever/lookup_options.h"
#include "heatherlever/member.h"

namespace heatherlever {

class BlockTable;
struct DeploymentSpec;

/// The look-up answers of one epoch and configuration, made beforehand for each
/// service and home region.
class LookupDirectory {
 public:
  /// `down` names members that do not answer at present; answers name them
  /// last. `local_region` is the home region of callers whose address is in no
  /// block.
  LookupDirectory(const DeploymentSpec& spec,
                  const std::vector<Member>& members,
                  const std::set<std::string>& down,
                  std::size_t local_region,
                  std::shared_ptr<const BlockTable> blocks,
                  const LookupOptions& options);

  /// The answer for a caller's address, in host byte order, and a kind of work
  /// by its index. Allocates nothing. Without members the answer names nobody.
  const LookupAnswer& Find(std::size_t kind,
                           std::uint32_t client_address) const;

  /// The answer for a home region.
  const LookupAnswer& FindByRegion(std::size_t kind, std::size_t region) const;

 private:
  std::size_t region_count_;
  std::size_t local_region_;
  std::shared_ptr<const BlockTable> blocks_;
  std::vector<std::size_t> service_of_kind_;
  // By service, then home region.
  std::vector<LookupAnswer> answers_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LOOKUP_DIRECTORY_H_
