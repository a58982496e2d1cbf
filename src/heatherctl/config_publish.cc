#include "heatherctl/config_publish.h"

#include <iostream>
#include <nlohmann/json.hpp>

#include "heatherctl/command.h"
#include "heatherctl/line_diff.h"
#include "heatherctl/platform_access.h"
#include "heatherlever/config_record.h"
#include "heatherlever/deployment_loader.h"
#include "heatherlever/deployment_spec.h"
#include "heatherlever/selector.h"
#include "heathernet/config_store.h"
#include "heathernet/write_result.h"

namespace heatherctl {

using heathernet::ConfigStore;
using heathernet::WriteStatus;

namespace {

void CheckSelector(const std::string& file,
                   const std::string& what,
                   const std::string& text) {
  const auto selector = heatherlever::Selector::Parse(text);
  if (!selector.ok()) {
    throw InputError(file + ": " + what + ": " +
                     std::string(selector.status().message()));
  }
}

int ReportConflict(const CommandLine& line,
                   ConfigStore& store,
                   const std::string& text) {
  const auto newest = store.Newest();
  if (newest && !line.json) {
    std::cout << "another version was accepted meanwhile; it differs from "
                 "the file in:\n";
    PrintDiff(newest->yaml, text);
  }
  return PrintResult(line, "conflict", newest ? newest->version : 0,
                     kExitConflict);
}

}  // namespace

void CheckConfig(const std::string& text, const std::string& file) {
  const auto spec = heatherlever::LoadDeployment(text, file);
  if (!spec.ok()) {
    throw InputError(std::string(spec.status().message()));
  }
  for (const heatherlever::RuleSpec& rule : spec->rules) {
    CheckSelector(file, "rule '" + rule.name + "', work", rule.work);
    CheckSelector(file, "rule '" + rule.name + "', to", rule.to);
  }
  for (const heatherlever::DrainSpec& drain : spec->drains) {
    CheckSelector(file, "drain '" + drain.name + "', select", drain.select);
  }
}

void PrintDiff(const std::string& before, const std::string& after) {
  for (const std::string& changed : LineDiff(before, after)) {
    std::cout << changed << "\n";
  }
}

int PrintResult(const CommandLine& line,
                const std::string& result,
                std::int64_t version,
                int exit_code) {
  if (line.json) {
    std::cout << nlohmann::json{{"result", result}, {"version", version}}
              << "\n";
  } else {
    std::cout << result << ", version " << version << "\n";
  }
  return exit_code;
}

int PublishConfig(const CommandLine& line,
                  ConfigStore& store,
                  std::int64_t expected,
                  const std::string& text) {
  const auto written = store.Publish(expected, text);
  switch (written.status) {
    case WriteStatus::kWritten:
      return PrintResult(line, "accepted", written.version, kExitOk);
    case WriteStatus::kConflict:
      return ReportConflict(line, store, text);
    case WriteStatus::kUnavailable:
      break;
  }
  std::cerr << "heatherctl: the platform gave no answer; whether version "
            << expected + 1
            << " was accepted is not known: run `heatherctl diff`\n";
  return kExitUnavailable;
}

}  // namespace heatherctl
