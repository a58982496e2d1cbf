#include "heather-load/experiment_table.h"

#include <cmath>
#include <iomanip>
#include <sstream>

#include "heather-load/experiment.h"

namespace heather_load {
namespace {

constexpr int kNameWidth = 18;
constexpr int kRankWidth = 8;
constexpr int kIntervalWidth = 20;

std::string IntervalText(const ConfidenceInterval& interval) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << interval.mean << " +- ";
  if (std::isfinite(interval.half_width)) {
    text << interval.half_width;
  } else {
    text << "?";
  }
  return text.str();
}

nlohmann::json IntervalJson(const ConfidenceInterval& interval) {
  nlohmann::json json = {{"mean", interval.mean}, {"half_width", nullptr}};
  if (std::isfinite(interval.half_width)) {
    json["half_width"] = interval.half_width;
  }
  return json;
}

}  // namespace

std::string FormatExperiment(const std::vector<SettingResult>& results) {
  std::ostringstream table;
  table << std::left << std::setw(kNameWidth) << "setting"
        << std::setw(kRankWidth) << "rank" << std::right;
  for (const char* title : {"p50 ms", "p99 ms", "served %"}) {
    table << std::setw(kIntervalWidth) << title;
  }
  table << "\n";
  for (const SettingResult& result : results) {
    for (const RankFigures& row : result.ranks) {
      table << std::left << std::setw(kNameWidth) << result.name
            << std::setw(kRankWidth) << row.rank << std::right;
      for (const auto* interval :
           {&row.p50_ms, &row.p99_ms, &row.served_percent}) {
        table << std::setw(kIntervalWidth) << IntervalText(*interval);
      }
      table << "\n";
    }
    table << result.name << ": " << result.runs << " runs, promises "
          << (result.promises_kept ? "kept" : "broken") << "\n";
  }
  return table.str();
}

nlohmann::json ExperimentJson(const std::vector<SettingResult>& results) {
  nlohmann::json list = nlohmann::json::array();
  for (const SettingResult& result : results) {
    nlohmann::json setting = {{"name", result.name},
                              {"runs", result.runs},
                              {"promises_kept", result.promises_kept},
                              {"ranks", nlohmann::json::array()},
                              {"seconds", nlohmann::json::array()}};
    for (const RankFigures& row : result.ranks) {
      setting["ranks"].push_back(
          {{"rank", row.rank},
           {"p50_ms", IntervalJson(row.p50_ms)},
           {"p99_ms", IntervalJson(row.p99_ms)},
           {"served_percent", IntervalJson(row.served_percent)}});
    }
    for (const SecondCounts& counts : result.seconds) {
      setting["seconds"].push_back({{"served", counts.served},
                                    {"refused", counts.refused},
                                    {"unknown", counts.unknown}});
    }
    list.push_back(std::move(setting));
  }
  return {{"settings", list}};
}

}  // namespace heather_load
