#ifndef HEATHERLEVER_LIB_STATE_CHART_READER_H_
#define HEATHERLEVER_LIB_STATE_CHART_READER_H_

#include <string>
#include <vector>

#include "heatherlever/state_chart.h"

namespace YAML {  // NOLINT(readability-identifier-naming)
class Node;
}

namespace heatherlever {

/// Reads and checks one state chart. Throws ChartError.
class StateChartReader {
 public:
  explicit StateChartReader(std::string file) : file_(std::move(file)) {}

  StateChart Read(const std::string& text);

 private:
  void ReadNames(const YAML::Node& root);
  void ReadState(const YAML::Node& name, const YAML::Node& body);
  void ReadTransitions(std::size_t state, const YAML::Node& on);
  void ReadIgnored(std::size_t state, const YAML::Node& ignore);
  void SetNext(std::size_t state, const YAML::Node& event, std::int16_t next);
  void CheckComplete(std::size_t state, const YAML::Node& name) const;
  void CheckReachable(const YAML::Node& states) const;
  void CheckKeys(const YAML::Node& node,
                 const std::vector<std::string>& known) const;
  std::size_t Index(const std::vector<std::string>& names,
                    const YAML::Node& name,
                    const std::string& what) const;
  [[noreturn]] void Fail(const YAML::Node& node,
                         const std::string& problem) const;

  std::string file_;
  StateChart chart_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_STATE_CHART_READER_H_
