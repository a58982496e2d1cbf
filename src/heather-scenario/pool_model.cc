#include "heather-scenario/pool_model.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "heather-scenario/parse_duration.h"
#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"
#include "heatherlever/pool_queue.h"

namespace heather_scenario {
namespace {

using heatherlever::AttemptId;
using heatherlever::AttemptResult;
using heatherlever::CancelAttemptAction;
using heatherlever::DispatchAction;
using heatherlever::Duration;
using heatherlever::FinishAction;
using heatherlever::Instant;
using heatherlever::PoolRequest;
using heatherlever::RequestId;

constexpr std::uint64_t kSeed = 1;
constexpr Duration kServiceTime = std::chrono::milliseconds(40);

using Lines = std::vector<std::string>;

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

class PoolModel : public ScenarioModel {
 public:
  PoolModel() : pool_(*heatherlever::PoolQueue::Create({}, kSeed)) {}

  Lines Run(const ScenarioStep& step) override {
    using Verb = Lines (PoolModel::*)(const ScenarioStep&);
    static const std::map<std::string, Verb> verbs = {
        {"servers", &PoolModel::Servers}, {"submit", &PoolModel::Submit},
        {"done", &PoolModel::Done},       {"serve", &PoolModel::Serve},
        {"tick", &PoolModel::Tick},       {"summary", &PoolModel::Summary}};
    const auto found = verbs.find(step.verb);
    if (found == verbs.end()) {
      throw ScenarioError("the pool model has no verb '" + step.verb + "'");
    }
    now_ = std::max(now_, step.at);
    return (this->*found->second)(step);
  }

 private:
  struct Open {
    RequestId id = 0;
    std::string backend;
    Instant since{0};
  };

  Lines Servers(const ScenarioStep& step) {
    std::vector<heatherlever::BackendSpec> specs;
    for (const std::string& argument : step.arguments) {
      const std::string name = argument.substr(0, argument.find('='));
      if (name == "drain") {
        continue;
      }
      heatherlever::BackendSpec spec;
      spec.name = name;
      spec.slots = static_cast<int>(step.NumberOption(name, 0));
      specs.push_back(spec);
    }
    const Lines draining = SplitAtCommas(step.Option("drain", ""));
    pool_->SetBackends(specs, {draining.begin(), draining.end()}, now_);
    return Print();
  }

  Lines Submit(const ScenarioStep& step) {
    if (step.arguments.empty()) {
      throw ScenarioError("submit wants a count");
    }
    const auto first = static_cast<RequestId>(step.NumberOption("first", 1));
    const std::string rank = step.Option("rank", "third");
    PoolRequest request;
    request.rank = heatherlever::RankFromName(rank).value();
    request.kind = step.Option("kind", rank);
    request.caller = "caller";
    request.floor_share =
        static_cast<double>(step.NumberOption("floor", 0)) / 100;
    request.deadline =
        now_ + step.DurationOption("deadline", std::chrono::seconds(1));
    request.service_time = kServiceTime;
    request.idempotent = step.NumberOption("idempotent", 0) != 0;
    const int count = std::stoi(step.arguments.front());
    for (int i = 0; i < count; ++i) {
      request.id = first + static_cast<RequestId>(i);
      kinds_[request.id] = request.kind;
      pool_->Submit(request, now_);
    }
    return Print();
  }

  Lines Done(const ScenarioStep& step) {
    if (step.arguments.size() != 2) {
      throw ScenarioError("done wants an id and a result");
    }
    const RequestId id = std::stoull(step.arguments[0]);
    const std::optional<AttemptResult> result =
        heatherlever::AttemptResultFromName(step.arguments[1]);
    const auto open =
        std::find_if(open_.begin(), open_.end(),
                     [id](const auto& each) { return each.second.id == id; });
    if (open == open_.end() || !result) {
      throw ScenarioError("done: no open attempt of " + step.arguments[0] +
                          ", or no result '" + step.arguments[1] + "'");
    }
    const AttemptId attempt = open->first;
    open_.erase(open);
    pool_->AttemptDone(attempt, *result, now_);
    return Print();
  }

  Lines Serve(const ScenarioStep& step) {
    if (step.arguments.empty()) {
      throw ScenarioError("serve wants a duration");
    }
    const Instant end = now_ + ParseDuration(step.arguments.front());
    std::map<std::string, int> dispatches;
    std::map<std::string, int> ends;
    while (!open_.empty() && open_.begin()->second.since + kServiceTime < end) {
      const AttemptId attempt = open_.begin()->first;
      now_ = std::max(now_, open_.begin()->second.since + kServiceTime);
      open_.erase(open_.begin());
      pool_->AttemptDone(attempt, AttemptResult::kOk, now_);
      CountActions(dispatches, ends);
    }
    now_ = end;
    Lines lines;
    for (const auto& [kind, count] : dispatches) {
      lines.push_back("dispatched " + std::to_string(count) + " of " + kind);
    }
    for (const auto& [kind, count] : ends) {
      lines.push_back("finished " + std::to_string(count) + " of " + kind);
    }
    return lines;
  }

  Lines Tick(const ScenarioStep& /*step*/) {
    pool_->Tick(now_);
    return Print();
  }

  Lines Summary(const ScenarioStep& /*step*/) {
    const heatherlever::PoolSummary summary = pool_->Summary();
    std::string line = "usable " + std::to_string(summary.usable_slots) +
                       ", free " + std::to_string(summary.free_slots) +
                       ", in flight " + std::to_string(summary.in_flight) +
                       ", queued";
    for (const std::size_t queued : summary.queued) {
      line.append(" ").append(std::to_string(queued));
    }
    return {line};
  }

  // Each action in words.
  Lines Print() {
    Lines lines;
    for (const heatherlever::PoolAction& action : pool_->TakeActions()) {
      if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
        Note(*dispatch);
        lines.push_back("dispatch " + std::to_string(dispatch->id) + " to " +
                        dispatch->backend);
      } else if (const auto* cancel =
                     std::get_if<CancelAttemptAction>(&action)) {
        lines.push_back("cancel an attempt at " + cancel->backend);
      } else {
        const auto& finish = std::get<FinishAction>(action);
        lines.push_back(
            "finish " + std::to_string(finish.id) + ": " +
            std::string(heatherlever::RequestOutcomeName(finish.outcome)) +
            ", " + std::string(heatherlever::FinishReasonName(finish.reason)));
      }
    }
    return lines;
  }

  void CountActions(std::map<std::string, int>& dispatches,
                    std::map<std::string, int>& ends) {
    for (const heatherlever::PoolAction& action : pool_->TakeActions()) {
      if (const auto* dispatch = std::get_if<DispatchAction>(&action)) {
        Note(*dispatch);
        ++dispatches[kinds_.at(dispatch->id)];
      } else if (const auto* finish = std::get_if<FinishAction>(&action)) {
        ++ends[kinds_.at(finish->id) + ", " +
               std::string(heatherlever::RequestOutcomeName(finish->outcome))];
      }
    }
  }

  void Note(const DispatchAction& dispatch) {
    open_[dispatch.attempt] = {dispatch.id, dispatch.backend, now_};
  }

  std::unique_ptr<heatherlever::PoolQueue> pool_;
  Instant now_{0};
  std::map<AttemptId, Open> open_;
  std::map<RequestId, std::string> kinds_;
};

}  // namespace

std::unique_ptr<ScenarioModel> MakePoolModel() {
  return std::make_unique<PoolModel>();
}

}  // namespace heather_scenario
