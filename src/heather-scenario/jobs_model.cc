#include "heather-scenario/jobs_model.h"

#include <charconv>
#include <map>
#include <set>
#include <sstream>

#include "heather-bench-jobs/job_runner.h"
#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"

namespace heather_scenario {
namespace {

using heather_bench_jobs::JobRunner;
using heather_bench_jobs::JobWorld;
using heather_bench_jobs::TrackedRequest;
using heatherlever::HostId;
using heatherlever::JobOutcome;

constexpr heatherlever::Duration kDeadline = std::chrono::seconds(5);
constexpr heatherlever::Duration kRetention = std::chrono::hours(1);

std::vector<std::string> SplitCommas(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> parts;
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    throw ScenarioError("a whole number was expected, found '" + text + "'");
  }
  return value;
}

class JobsModel : public ScenarioModel {
 public:
  std::vector<std::string> Run(const ScenarioStep& step) override {
    static const std::map<std::string, Verb> verbs = {
        {"hosts", {&JobsModel::Hosts, 1}},
        {"epoch", {&JobsModel::Epoch, 2}},
        {"submit", {&JobsModel::Submit, 2}},
        {"freeze", {&JobsModel::Freeze, 1}},
        {"thaw", {&JobsModel::Thaw, 1}},
        {"kill", {&JobsModel::Kill, 1}},
        {"restart", {&JobsModel::Restart, 1}},
        {"leave", {&JobsModel::Leave, 1}},
        {"unreachable", {&JobsModel::Unreachable, 1}},
        {"gone", {&JobsModel::Gone, 1}},
        {"backend", {&JobsModel::Backend, 1}},
        {"runs", {&JobsModel::Runs, 1}},
    };
    const auto verb = verbs.find(step.verb);
    if (verb == verbs.end()) {
      throw ScenarioError("the jobs model has no verb '" + step.verb + "'");
    }
    if (step.arguments.size() < verb->second.arguments) {
      throw ScenarioError("'" + step.verb + "' wants more arguments");
    }
    lines_.clear();
    now_ = step.at;
    AdvanceClocks();
    (this->*verb->second.run)(step);
    runner_.Run();
    Report();
    return lines_;
  }

 private:
  struct Verb {
    void (JobsModel::*run)(const ScenarioStep& step);
    std::size_t arguments;
  };

  void AdvanceClocks() {
    for (const auto& [name, host] : world_.hosts()) {
      if (host->alive && runner_.frozen.count(name) == 0) {
        world_.SetClock(name, now_);
      }
    }
    runner_.Run();
  }

  void Hosts(const ScenarioStep& step) {
    for (const std::string& name : step.arguments) {
      world_.AddHost(name, {});
    }
  }

  void Epoch(const ScenarioStep& step) {
    const std::uint64_t number = ParseNumber(step.arguments[0]);
    if (epochs_.count(number) == 0) {
      WriteEpoch(number, step.arguments[1]);
    }
    const std::set<std::string> at = InstallHosts(step);
    for (const auto& [name, host] : world_.hosts()) {
      if (host->alive && (at.empty() || at.count(name) != 0)) {
        world_.Install(name, epochs_.at(number));
      }
    }
  }

  static std::set<std::string> InstallHosts(const ScenarioStep& step) {
    const std::vector<std::string> names = SplitCommas(step.Option("at", ""));
    return {names.begin(), names.end()};
  }

  void WriteEpoch(std::uint64_t number, const std::string& members) {
    heatherlever::PoolAssignment pool;
    pool.pool = "p";
    pool.term.number = number;
    for (const std::string& name : SplitCommas(members)) {
      pool.term.members.push_back(Host(name).id);
    }
    if (!epochs_.empty()) {
      pool.previous = epochs_.rbegin()->second.pools.front().term;
    }
    epochs_[number] = {number, 1, {pool}};
  }

  void Submit(const ScenarioStep& step) {
    TrackedRequest tracked;
    tracked.request.id = ParseNumber(step.arguments[0]);
    tracked.request.pool = "p";
    tracked.request.key = {"print", step.Option("key", "k")};
    tracked.request.fingerprint =
        static_cast<std::uint64_t>(step.NumberOption("fingerprint", 1));
    tracked.request.deadline = kDeadline;
    tracked.request.retention = kRetention;
    tracked.host = Host(step.arguments[1]).id.name;
    tracked.depose = step.Option("depose", "no") == "yes";
    world_.Track(tracked);
  }

  void Freeze(const ScenarioStep& step) {
    runner_.frozen.insert(Host(step.arguments[0]).id.name);
  }

  void Thaw(const ScenarioStep& step) {
    runner_.frozen.erase(step.arguments[0]);
    AdvanceClocks();
  }

  void Kill(const ScenarioStep& step) {
    world_.Kill(Host(step.arguments[0]).id.name);
  }

  void Restart(const ScenarioStep& step) {
    world_.Restart(Host(step.arguments[0]).id.name);
  }

  void Leave(const ScenarioStep& step) {
    world_.Leave(Host(step.arguments[0]).id.name);
  }

  void Unreachable(const ScenarioStep& step) {
    const HostId peer = Host(step.arguments[0]).id;
    ForEachPeer(peer, [&](const std::string& name) {
      world_.PeerUnreachable(name, peer);
    });
  }

  void Gone(const ScenarioStep& step) {
    const HostId peer = Host(step.arguments[0]).id;
    ForEachPeer(peer,
                [&](const std::string& name) { world_.PeerGone(name, peer); });
  }

  template <typename Visit>
  void ForEachPeer(const HostId& peer, const Visit& visit) {
    for (const auto& [name, host] : world_.hosts()) {
      if (host->alive && name != peer.name) {
        visit(name);
      }
    }
  }

  void Backend(const ScenarioStep& step) {
    const std::string& mode = step.arguments[0];
    runner_.hold_backend = mode == "hold";
    runner_.backend_outcome =
        mode == "shed" ? JobOutcome::kNotRun : JobOutcome::kDone;
  }

  void Runs(const ScenarioStep& step) {
    const std::string& key = step.arguments[0];
    lines_.push_back(key + " was run " +
                     std::to_string(world_.runs({"print", key})) + " times");
  }

  const JobWorld::Host& Host(const std::string& name) const {
    const auto found = world_.hosts().find(name);
    if (found == world_.hosts().end()) {
      throw ScenarioError("no host is named '" + name + "'");
    }
    return *found->second;
  }

  // Prints the outcomes that are new, and broken promises.
  void Report() {
    for (const auto& [id, tracked] : world_.requests()) {
      if (tracked.outcome && reported_.insert(id).second) {
        std::ostringstream line;
        line << "request " << id << ": "
             << heatherlever::JobOutcomeName(*tracked.outcome) << " ("
             << heatherlever::JobReasonName(tracked.reason) << ") by "
             << tracked.host;
        lines_.push_back(line.str());
      }
    }
    for (const std::string& violation : world_.violations()) {
      lines_.push_back("broken: " + violation);
    }
  }

  JobWorld world_;
  JobRunner runner_{world_};
  heatherlever::Instant now_{0};
  std::map<std::uint64_t, heatherlever::JobEpoch> epochs_;
  std::set<std::uint64_t> reported_;
  std::vector<std::string> lines_;
};

}  // namespace

std::unique_ptr<ScenarioModel> MakeJobsModel() {
  return std::make_unique<JobsModel>();
}

}  // namespace heather_scenario
