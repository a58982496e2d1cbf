#ifndef HEATHERCTL_DRAIN_EDIT_H_
#define HEATHERCTL_DRAIN_EDIT_H_

#include <string>
#include <vector>

namespace heatherctl {

/// A drain to add to a configuration.
struct NewDrain {
  std::string name;
  /// Over backend servers.
  std::string select;
  /// A duration such as 30s; empty for none.
  std::string ramp;
};

/// Names of the drains of a configuration, in order. Like the functions below
/// it throws InputError for a text that is no YAML mapping.
std::vector<std::string> DrainNames(const std::string& config);

/// The configuration with one drain more. Only the lines of `drains:` change.
/// Throws InputError if the name is taken.
std::string AddDrain(const std::string& config, const NewDrain& drain);

/// The configuration without the drain of that name. Throws InputError, with
/// the nearest name, if there is none.
std::string RemoveDrain(const std::string& config, const std::string& name);

/// A name that no drain has: drain-1, drain-2, and so on.
std::string FreeDrainName(const std::string& config);

}  // namespace heatherctl

#endif  // HEATHERCTL_DRAIN_EDIT_H_
