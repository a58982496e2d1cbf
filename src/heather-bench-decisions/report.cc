#include "heather-bench-decisions/report.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace heather_bench_decisions {
namespace {

std::string Text(const std::optional<double>& value, int digits) {
  if (!value) {
    return "-";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << *value;
  return text.str();
}

template <typename T>
nlohmann::json Json(const std::optional<T>& value) {
  return value ? nlohmann::json(*value) : nlohmann::json(nullptr);
}

}  // namespace

void PrintHeading(std::ostream& out) {
  out << "deployment scenario       load policy       rank    p50_ms  p99_ms  "
         "goodput  of_slots  over  drain_s\n";
}

void PrintRows(const std::vector<Row>& rows, std::ostream& out) {
  for (const Row& row : rows) {
    out << std::left << std::setw(11) << row.deployment << std::setw(15)
        << row.scenario << std::setw(5) << row.load << std::setw(13)
        << row.policy << std::setw(7) << row.rank << std::right << std::setw(7)
        << Text(row.p50_ms, 1) << std::setw(8) << Text(row.p99_ms, 1)
        << std::setw(9) << Text(row.goodput_share, 3) << std::setw(10)
        << Text(row.capacity_share, 3) << std::setw(6) << row.peak_over_slots
        << std::setw(9) << Text(row.drain_s, 2) << "\n";
  }
  out.flush();
}

void PrintJson(const std::vector<Row>& rows, std::ostream& out) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const Row& row : rows) {
    list.push_back({{"deployment", row.deployment},
                    {"scenario", row.scenario},
                    {"load", row.load},
                    {"policy", row.policy},
                    {"rank", row.rank},
                    {"p50_ms", Json(row.p50_ms)},
                    {"p99_ms", Json(row.p99_ms)},
                    {"goodput_share", row.goodput_share},
                    {"peak_over_slots", row.peak_over_slots},
                    {"cap_violations", Json(row.cap_violations)},
                    {"drain_s", Json(row.drain_s)}});
  }
  out << list.dump(1) << "\n";
}

}  // namespace heather_bench_decisions
