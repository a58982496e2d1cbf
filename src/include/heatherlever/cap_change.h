#ifndef HEATHERLEVER_CAP_CHANGE_H_
#define HEATHERLEVER_CAP_CHANGE_H_

#include <map>
#include <set>
#include <string>

namespace heatherlever {

/// Shares or rates by the name of their rule.
using Caps = std::map<std::string, double>;

/// Changes the caps of a plan without exceeding either plan in between:
/// lowered caps come first, and raised ones only after every host has
/// acknowledged the lower ones.
class CapChange {
 public:
  /// `hosts` are those that may send under the old caps. A cap that is missing
  /// on one side counts as 0 there.
  CapChange(const Caps& old_caps, Caps new_caps, std::set<std::string> hosts);

  /// The caps to enforce now: first the lower of old and new, then the new.
  const Caps& caps() const;

  /// A host enforces the lower caps. Unknown hosts are ignored.
  void Acknowledge(const std::string& host);

  /// A host certainly sends no more: its lease is over or its process is gone.
  /// A host that is merely silent has to be waited for.
  void Remove(const std::string& host);

  /// Whether the new caps are in force.
  bool complete() const { return waiting_.empty(); }

  /// Hosts that the raise waits for.
  const std::set<std::string>& waiting() const { return waiting_; }

 private:
  Caps lower_caps_;
  Caps new_caps_;
  std::set<std::string> waiting_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_CAP_CHANGE_H_
