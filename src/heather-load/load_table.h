#ifndef HEATHER_LOAD_LOAD_TABLE_H_
#define HEATHER_LOAD_LOAD_TABLE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "heather-load/request_result.h"
#include "heatherlever/rank.h"

namespace heather_load {

struct LoadPlan;
struct RunCheck;

/// One row of the table: all requests of one kind of work.
struct LoadRow {
  std::string kind;
  std::string rank;
  std::size_t sent = 0;
  std::size_t done = 0;
  std::size_t not_run = 0;
  std::size_t unknown = 0;
  std::size_t broken = 0;
  /// Latency of the requests that were done, in milliseconds.
  double p50_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
};

/// The rows of a load, most urgent rank first.
std::vector<LoadRow> MakeRows(const LoadPlan& plan,
                              const std::vector<RequestResult>& results);

/// One row a rank, over all of its kinds; `kind` is empty.
std::map<heatherlever::Rank, LoadRow> MakeRankRows(
    const LoadPlan& plan,
    const std::vector<RequestResult>& results);

/// Whether every answer was whole and nothing was run twice or reported
/// wrongly.
bool PromisesKept(const std::vector<LoadRow>& rows, const RunCheck& check);

/// Rows and check as a table for people.
std::string FormatTable(const std::vector<LoadRow>& rows,
                        const RunCheck& check);

/// Rows and check as JSON.
nlohmann::json ToJson(const std::vector<LoadRow>& rows, const RunCheck& check);

}  // namespace heather_load

#endif  // HEATHER_LOAD_LOAD_TABLE_H_
