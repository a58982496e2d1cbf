#include "heather-load/load_table.h"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>

#include "heather-load/arrival.h"
#include "heather-load/load_plan.h"
#include "heather-load/run_check.h"

namespace heather_load {
namespace {

constexpr int kKindWidth = 16;
constexpr int kNumberWidth = 9;
constexpr double kMicrosecondsPerMillisecond = 1000;

// The value below which `share` of the sorted values lie.
double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

void Count(ResultClass result, LoadRow& row) {
  switch (result) {
    case ResultClass::kDone:
      ++row.done;
      break;
    case ResultClass::kNotRun:
      ++row.not_run;
      break;
    case ResultClass::kUnknown:
      ++row.unknown;
      break;
    case ResultClass::kBroken:
      ++row.broken;
      break;
  }
}

// The figures of the requests whose kind is among `kinds`.
LoadRow MakeRow(const std::set<std::string>& kinds,
                heatherlever::Rank rank,
                const std::vector<RequestResult>& results) {
  constexpr double kHalf = 0.5;
  constexpr double kNearlyAll = 0.99;
  LoadRow row;
  row.rank = RankName(rank);
  std::vector<double> latencies;
  for (const RequestResult& result : results) {
    if (kinds.count(result.arrival->stream->kind) == 0) {
      continue;
    }
    ++row.sent;
    Count(result.result, row);
    if (result.result == ResultClass::kDone) {
      latencies.push_back(static_cast<double>(result.latency.count()) /
                          kMicrosecondsPerMillisecond);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  row.p50_ms = Percentile(latencies, kHalf);
  row.p99_ms = Percentile(latencies, kNearlyAll);
  row.max_ms = Percentile(latencies, 1);
  return row;
}

}  // namespace

std::vector<LoadRow> MakeRows(const LoadPlan& plan,
                              const std::vector<RequestResult>& results) {
  std::vector<heatherlever::KindSpec> kinds = plan.deployment.kinds;
  std::stable_sort(
      kinds.begin(), kinds.end(),
      [](const auto& a, const auto& b) { return a.rank < b.rank; });
  std::vector<LoadRow> rows;
  for (const heatherlever::KindSpec& kind : kinds) {
    LoadRow row = MakeRow({kind.name}, kind.rank, results);
    row.kind = kind.name;
    if (row.sent > 0) {
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::map<heatherlever::Rank, LoadRow> MakeRankRows(
    const LoadPlan& plan,
    const std::vector<RequestResult>& results) {
  std::map<heatherlever::Rank, std::set<std::string>> kinds;
  for (const heatherlever::KindSpec& kind : plan.deployment.kinds) {
    kinds[kind.rank].insert(kind.name);
  }
  std::map<heatherlever::Rank, LoadRow> rows;
  for (const auto& [rank, names] : kinds) {
    LoadRow row = MakeRow(names, rank, results);
    if (row.sent > 0) {
      rows[rank] = std::move(row);
    }
  }
  return rows;
}

bool PromisesKept(const std::vector<LoadRow>& rows, const RunCheck& check) {
  const bool whole = std::all_of(rows.begin(), rows.end(), [](const auto& row) {
    return row.broken == 0;
  });
  return whole && check.doubled == 0 && check.false_not_run == 0 &&
         check.false_done == 0;
}

std::string FormatTable(const std::vector<LoadRow>& rows,
                        const RunCheck& check) {
  std::ostringstream table;
  table << std::left << std::setw(kKindWidth) << "kind" << std::setw(8)
        << "rank" << std::right;
  for (const char* title : {"sent", "served", "refused", "unknown", "broken",
                            "p50 ms", "p99 ms", "max ms"}) {
    table << std::setw(kNumberWidth) << title;
  }
  table << "\n" << std::fixed << std::setprecision(1);
  for (const LoadRow& row : rows) {
    table << std::left << std::setw(kKindWidth) << row.kind << std::setw(8)
          << row.rank << std::right;
    for (const std::size_t count :
         {row.sent, row.done, row.not_run, row.unknown, row.broken}) {
      table << std::setw(kNumberWidth) << count;
    }
    for (const double value : {row.p50_ms, row.p99_ms, row.max_ms}) {
      table << std::setw(kNumberWidth) << value;
    }
    table << "\n";
  }
  table << "run twice: " << check.doubled
        << ", reported as not run but run: " << check.false_not_run
        << ", reported as done but not run: " << check.false_done
        << ", above slots: " << check.over_slots << "\n";
  return table.str();
}

nlohmann::json ToJson(const std::vector<LoadRow>& rows, const RunCheck& check) {
  nlohmann::json list = nlohmann::json::array();
  for (const LoadRow& row : rows) {
    list.push_back({{"kind", row.kind},
                    {"rank", row.rank},
                    {"sent", row.sent},
                    {"done", row.done},
                    {"not_run", row.not_run},
                    {"unknown", row.unknown},
                    {"broken", row.broken},
                    {"p50_ms", row.p50_ms},
                    {"p99_ms", row.p99_ms},
                    {"max_ms", row.max_ms}});
  }
  return {{"rows", list},
          {"doubled", check.doubled},
          {"false_not_run", check.false_not_run},
          {"false_done", check.false_done},
          {"over_slots", check.over_slots},
          {"silent_servers", check.silent_servers}};
}

}  // namespace heather_load
