#include "heather-scenario/placement_model.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <sstream>

#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"
#include "heatherlever/block_table.h"
#include "heatherlever/deployment_spec.h"
#include "heatherlever/drain_plan.h"
#include "heatherlever/placement.h"

namespace heather_scenario {
namespace {

using heatherlever::Duration;
using heatherlever::Instant;
using heatherlever::Placement;
using heatherlever::PlacementDecision;
using heatherlever::PlacementOutcome;

using Lines = std::vector<std::string>;

constexpr char kService[] = "service";
constexpr std::int64_t kPercent = 100;
constexpr std::uint32_t kFirstNetwork = 10;
constexpr int kNetworkShift = 24;
constexpr int kNetworkBits = 8;
constexpr double kLinkMbitPerSecond = 4000;
constexpr Duration kStepDelay = std::chrono::milliseconds(10);

std::vector<std::string> Split(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; std::getline(stream, word, ',');) {
    words.push_back(word);
  }
  return words;
}

// A value, or a ScenarioError with its status.
template <typename T>
T ValueOf(absl::StatusOr<T> result) {
  if (!result.ok()) {
    throw ScenarioError(result.status().ToString());
  }
  return *std::move(result);
}

class PlacementModel : public ScenarioModel {
 public:
  Lines Run(const ScenarioStep& step) override {
    using Verb = Lines (PlacementModel::*)(const ScenarioStep&);
    static const std::map<std::string, Verb> verbs = {
        {"setup", &PlacementModel::Setup},
        {"report", &PlacementModel::Report},
        {"dead", &PlacementModel::Dead},
        {"alive", &PlacementModel::Alive},
        {"drain", &PlacementModel::Drain},
        {"requests", &PlacementModel::Requests},
        {"done", &PlacementModel::Done},
        {"explain", &PlacementModel::Explain},
    };
    const auto verb = verbs.find(step.verb);
    if (verb == verbs.end()) {
      throw ScenarioError("the placement model knows no '" + step.verb + "'");
    }
    if (!placement_ && step.verb != "setup") {
      throw ScenarioError("'setup' has to come first");
    }
    if (drains_) {
      ApplyDrains(step.at);
    }
    return (this->*verb->second)(step);
  }

 private:
  Lines Setup(const ScenarioStep& step) {
    slots_ = static_cast<int>(step.NumberOption("slots", 40));
    for (const std::string& name : Split(step.Option("regions", ""))) {
      AddRegion(name);
    }
    heatherlever::KindSpec kind;
    kind.name = "work";
    kind.service = kService;
    spec_.kinds = {kind};
    spec_.rules = {{"rule", "", "",
                    static_cast<double>(step.NumberOption("cap", 0)) /
                        static_cast<double>(kPercent)}};
    heatherlever::PlacementOptions options;
    options.headroom_senders = 1;
    options.move_ramp = step.DurationOption("move-ramp", Duration(0));
    options.return_ramp = step.DurationOption("return", Duration(0));
    auto blocks =
        ValueOf(heatherlever::BlockTable::Build(spec_.blocks, names_));
    placement_ = ValueOf(Placement::Create(
        spec_, step.Option("local", names_.empty() ? "" : names_[0]),
        std::make_shared<heatherlever::BlockTable>(std::move(blocks)),
        options));
    return {};
  }

  void AddRegion(const std::string& name) {
    const auto place = static_cast<std::uint32_t>(names_.size());
    for (std::size_t other = 0; other < names_.size(); ++other) {
      spec_.links.push_back(
          {names_[other], name,
           kStepDelay * static_cast<std::int64_t>(place - other),
           kLinkMbitPerSecond, 1});
    }
    names_.push_back(name);
    spec_.regions.push_back({name, {}, {"a"}});
    spec_.backends.push_back({name, {}, kService, name, "a", "", 0, slots_, 0});
    spec_.blocks.push_back(
        {(kFirstNetwork + place) << kNetworkShift, kNetworkBits, name});
  }

  Lines Report(const ScenarioStep& step) {
    heatherlever::HeadroomReport report;
    report.free_slots = static_cast<int>(step.NumberOption("free", 0));
    report.queued = static_cast<int>(step.NumberOption("queued", 0));
    report.usable_slots = slots_;
    if (!step.Option("lent", "").empty()) {
      report.granted = static_cast<int>(step.NumberOption("lent", 0));
    }
    const Duration every =
        step.DurationOption("every", std::chrono::milliseconds(100));
    const Duration end = step.at + step.DurationOption("for", Duration(0));
    for (Instant now = step.at; now <= end; now += every) {
      placement_->OnSummary(kService, names_[Region(step)], report, now);
    }
    return {};
  }

  Lines Dead(const ScenarioStep& step) {
    placement_->SetRegionDead(names_[Region(step)], true);
    return {};
  }

  Lines Alive(const ScenarioStep& step) {
    placement_->SetRegionDead(names_[Region(step)], false);
    return {};
  }

  // Script time is the time since the Unix epoch.
  Lines Drain(const ScenarioStep& step) {
    const Duration start = step.DurationOption("start", step.at);
    spec_.drains = {
        {"drain", "region = " + names_[Region(step)],
         std::chrono::duration_cast<std::chrono::seconds>(start).count(),
         step.DurationOption("ramp", Duration(0))}};
    drains_ = ValueOf(heatherlever::DrainPlan::Create(spec_, step.at));
    ApplyDrains(step.at);
    return {};
  }

  void ApplyDrains(Instant now) {
    for (const auto& pool : drains_->Pools(now)) {
      placement_->SetDrainShare(pool.service, pool.region, pool.share);
    }
  }

  Lines Requests(const ScenarioStep& step) {
    const std::int64_t count = step.NumberOption("count", 1);
    std::map<std::string, std::int64_t> outcomes;
    for (std::int64_t i = 0; i < count; ++i) {
      const auto decision = placement_->Decide(Request(step), step.at);
      ++outcomes[Text(decision)];
    }
    std::string line =
        std::to_string(count) + " of " + names_[Region(step)] + ":";
    for (const auto& [outcome, number] : outcomes) {
      line.append(" ").append(std::to_string(number)).append(" ");
      line.append(outcome).append(",");
    }
    line.pop_back();
    return {line};
  }

  Lines Done(const ScenarioStep& step) {
    for (std::int64_t i = step.NumberOption("count", 1); i > 0; --i) {
      placement_->OnMoveDone(0, Region(step));
    }
    return {};
  }

  Lines Explain(const ScenarioStep& step) {
    return placement_->Explain(Request(step), step.at).Lines();
  }

  heatherlever::PlacementRequest Request(const ScenarioStep& step) const {
    const auto network = static_cast<std::uint32_t>(Region(step));
    return {0, (kFirstNetwork + network) << kNetworkShift, 0, 0};
  }

  std::string Text(const PlacementDecision& decision) const {
    std::string text;
    if (decision.outcome == PlacementOutcome::kRefused) {
      text = "refused";
    } else {
      text = "to " + names_[decision.region];
    }
    text.append(" (").append(PlacementReasonName(decision.reason)).append(")");
    return text;
  }

  // The region that a step names first.
  std::size_t Region(const ScenarioStep& step) const {
    const std::string name =
        step.arguments.empty() ? "" : step.arguments.front();
    const auto found = std::find(names_.begin(), names_.end(), name);
    if (found == names_.end()) {
      throw ScenarioError("no region is named '" + name + "'");
    }
    return static_cast<std::size_t>(found - names_.begin());
  }

  heatherlever::DeploymentSpec spec_;
  std::vector<std::string> names_;
  int slots_ = 0;
  std::optional<Placement> placement_;
  std::optional<heatherlever::DrainPlan> drains_;
};

}  // namespace

std::unique_ptr<ScenarioModel> MakePlacementModel() {
  return std::make_unique<PlacementModel>();
}

}  // namespace heather_scenario
