#include "heather-scenario/membership_model.h"

#include <map>
#include <set>
#include <stdexcept>
#include <variant>

#include "heather-scenario/scenario_error.h"
#include "heather-scenario/scenario_model.h"
#include "heatherlever/membership_fleet.h"

namespace heather_scenario {
namespace {

using heatherlever::MembershipFleet;

constexpr std::uint64_t kSeed = 1;

class MembershipModel : public ScenarioModel {
 public:
  MembershipModel() : fleet_({}, kSeed) {
    fleet_.set_action_sink(
        [this](const std::string& host,
               const heatherlever::MembershipAction& action) {
          Note(host, action);
        });
  }

  std::vector<std::string> Run(const ScenarioStep& step) override {
    static const std::map<std::string, Verb> verbs = {
        {"add", {3, &MembershipModel::Add}},
        {"list", {0, &MembershipModel::List}},
        {"unlist", {1, &MembershipModel::Unlist}},
        {"list-leaving", {1, &MembershipModel::ListLeaving}},
        {"kill", {1, &MembershipModel::Kill}},
        {"restart", {1, &MembershipModel::Restart}},
        {"freeze", {1, &MembershipModel::Freeze}},
        {"thaw", {1, &MembershipModel::Thaw}},
        {"leave", {1, &MembershipModel::Leave}},
        {"cut", {2, &MembershipModel::Cut}},
        {"heal", {2, &MembershipModel::Heal}},
        {"watch", {1, &MembershipModel::Watch}},
        {"publish", {2, &MembershipModel::Publish}},
        {"view", {1, &MembershipModel::View}},
        {"entry", {2, &MembershipModel::Entry}},
        {"events", {1, &MembershipModel::Events}}};
    const auto found = verbs.find(step.verb);
    if (found == verbs.end()) {
      throw ScenarioError("the membership model does not know '" + step.verb +
                          "'");
    }
    if (step.arguments.size() < found->second.arguments) {
      throw ScenarioError(step.verb + " wants at least " +
                          std::to_string(found->second.arguments) +
                          " arguments");
    }
    fleet_.RunFor(step.at - fleet_.now());
    try {
      return (this->*found->second.run)(step);
    } catch (const std::out_of_range& error) {
      throw ScenarioError(error.what());
    }
  }

 private:
  using Lines = std::vector<std::string>;
  struct Verb {
    std::size_t arguments;
    Lines (MembershipModel::*run)(const ScenarioStep&);
  };

  void Note(const std::string& host,
            const heatherlever::MembershipAction& action) {
    if (const auto* change =
            std::get_if<heatherlever::ReachabilityChanged>(&action)) {
      events_[host].push_back(
          change->id + (change->reachable ? " reachable" : " unreachable"));
    } else if (std::holds_alternative<heatherlever::OwnPause>(action)) {
      events_[host].emplace_back("own pause");
    } else if (std::holds_alternative<heatherlever::Superseded>(action)) {
      events_[host].emplace_back("superseded");
    }
  }

  Lines Add(const ScenarioStep& step) {
    hosts_.insert(step.arguments[0]);
    fleet_.Add(step.arguments[0], step.arguments[1], step.arguments[2]);
    return {};
  }
  Lines List(const ScenarioStep& /*step*/) {
    fleet_.DeliverList();
    return {};
  }
  Lines Unlist(const ScenarioStep& step) {
    fleet_.Unlist(step.arguments[0]);
    return {};
  }
  Lines ListLeaving(const ScenarioStep& step) {
    fleet_.ListAsLeaving(step.arguments[0]);
    return {};
  }
  Lines Kill(const ScenarioStep& step) {
    fleet_.Kill(step.arguments[0]);
    return {};
  }
  Lines Restart(const ScenarioStep& step) {
    fleet_.Restart(step.arguments[0]);
    return {};
  }
  Lines Freeze(const ScenarioStep& step) {
    fleet_.Freeze(step.arguments[0]);
    return {};
  }
  Lines Thaw(const ScenarioStep& step) {
    fleet_.Thaw(step.arguments[0]);
    return {};
  }
  Lines Leave(const ScenarioStep& step) {
    fleet_.Leave(step.arguments[0]);
    return {};
  }

  // The hosts that an argument names.
  std::set<std::string> Named(const std::string& argument) const {
    return argument == "all" ? hosts_ : std::set<std::string>{argument};
  }
  Lines Cut(const ScenarioStep& step) {
    for (const std::string& to : Named(step.arguments[1])) {
      fleet_.Cut(step.arguments[0], to);
    }
    return {};
  }
  Lines Heal(const ScenarioStep& step) {
    for (const std::string& to : Named(step.arguments[1])) {
      fleet_.Heal(step.arguments[0], to);
    }
    return {};
  }

  Lines Watch(const ScenarioStep& step) {
    fleet_.Watch(step.arguments[0],
                 {step.arguments.begin() + 1, step.arguments.end()});
    return {};
  }
  Lines Publish(const ScenarioStep& step) {
    const auto version =
        static_cast<std::uint64_t>(step.NumberOption("version", 1));
    fleet_.Publish(step.arguments[0], {step.arguments[1], version, "", true});
    return {};
  }

  Lines View(const ScenarioStep& step) {
    std::string line = step.arguments[0] + " sees";
    for (const auto& [id, state] : fleet_.View(step.arguments[0])) {
      line.append(" ").append(id).append("=").append(
          heatherlever::MemberStateName(state));
    }
    return {line};
  }
  Lines Entry(const ScenarioStep& step) {
    const auto* process = fleet_.Find(step.arguments[0]);
    const auto* entry = process == nullptr
                            ? nullptr
                            : process->entries().Find(step.arguments[1]);
    return {step.arguments[0] + " knows " + step.arguments[1] + " " +
            (entry == nullptr ? "not at all" : std::to_string(entry->version))};
  }
  Lines Events(const ScenarioStep& step) {
    Lines lines;
    for (const std::string& event : events_[step.arguments[0]]) {
      lines.push_back(step.arguments[0] + " notes " + event);
    }
    events_.erase(step.arguments[0]);
    return lines;
  }

  MembershipFleet fleet_;
  std::set<std::string> hosts_;
  std::map<std::string, Lines> events_;
};

}  // namespace

std::unique_ptr<ScenarioModel> MakeMembershipModel() {
  return std::make_unique<MembershipModel>();
}

}  // namespace heather_scenario
