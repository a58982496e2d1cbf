#ifndef HEATHERLEVER_LIB_JOB_EXPLORER_FOR_TEST_H_
#define HEATHERLEVER_LIB_JOB_EXPLORER_FOR_TEST_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <unordered_set>
#include <vector>

#include "heather-bench-jobs/job_world.h"
#include "job_check_case_for_test.h"

namespace heatherlever {

using heather_bench_jobs::JobWorld;
using heather_bench_jobs::QueuedJob;
using heather_bench_jobs::TrackedRequest;

/// Breadth-first search over every order of events, with the ledger code that
/// ships. A message that is not delivered stands for a lost or late one, and a
/// host that takes no step for a frozen one.
class JobExplorer {
 public:
  explicit JobExplorer(const CheckCase& check) : check_(check) {}

  CheckResult Run() {
    Add(Initial(), "");
    while (!frontier_.empty() && result_.violation.empty()) {
      if (result_.states >= check_.max_states) {
        return result_;
      }
      const Node node = std::move(frontier_.front());
      frontier_.pop_front();
      result_.depth = node.depth;
      Expand(node);
    }
    result_.whole = result_.violation.empty();
    return result_;
  }

 private:
  using Step = std::function<void(Node&)>;

  Node Initial() const {
    Node node;
    node.left = check_.budget;
    for (const std::string& name : check_.hosts) {
      JobLedgerOptions options;
      options.faults = check_.faults;
      node.world.AddHost(name, options);
    }
    node.epochs.push_back(MakeEpoch(node, check_.members));
    for (const std::string& name : check_.hosts) {
      node.world.Install(name, node.epochs.front());
      node.installed[name] = 1;
    }
    return node;
  }

  static JobEpoch MakeEpoch(const Node& node,
                            const std::vector<std::string>& members) {
    PoolAssignment pool;
    pool.pool = "p";
    pool.term.number = node.epochs.size() + 1;
    for (const std::string& name : members) {
      pool.term.members.push_back(node.world.host(name).id);
    }
    if (!node.epochs.empty()) {
      pool.previous = node.epochs.back().pools.front().term;
    }
    return {pool.term.number, 1, {pool}};
  }

  void Expand(const Node& node) {
    ExpandCallers(node);
    ExpandNetwork(node);
    ExpandBackend(node);
    ExpandHosts(node);
    ExpandEpochs(node);
  }

  void ExpandCallers(const Node& node) {
    for (const auto& [id, tracked] : node.world.requests()) {
      if (!tracked.submitted && !tracked.outcome) {
        const std::uint64_t request = id;
        Try(node, "resubmit",
            [request](Node& next) { next.world.Submit(request); });
      }
    }
    if (node.left.requests == 0) {
      return;
    }
    for (const std::string& name : check_.hosts) {
      const bool home = name == check_.members.front();
      for (const bool depose : {false, true}) {
        if (home != depose) {
          Try(node, "submit@" + name,
              [&](Node& next) { SubmitNew(next, name, depose); });
        }
      }
    }
  }

  static void SubmitNew(Node& node, const std::string& host, bool depose) {
    const auto id = static_cast<std::uint64_t>(node.left.requests--);
    TrackedRequest tracked;
    tracked.request = {
        id, "p", {"print", "k"}, 7, kCheckDeadline, std::chrono::hours(1)};
    tracked.host = host;
    tracked.depose = depose;
    node.world.Track(tracked);
    node.world.Submit(id);
  }

  void ExpandNetwork(const Node& node) {
    std::set<std::string> seen;
    const std::vector<JobWorld::PacketPtr>& packets = node.world.network();
    for (std::size_t i = 0; i < packets.size(); ++i) {
      const JobWorld::PacketPtr packet = packets[i];
      if (!seen.insert(packet->Text()).second) {
        continue;
      }
      const std::string label = packet->from.name + ">" +
                                packet->message.to.name + ":" +
                                std::to_string(packet->message.body.index());
      Try(node, label, [i, packet](Node& next) {
        auto& network = next.world.network();
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(i));
        next.world.Deliver(*packet);
      });
      if (node.left.duplicates > 0) {
        Try(node, "twice " + label, [packet](Node& next) {
          --next.left.duplicates;
          next.world.Deliver(*packet);
        });
      }
    }
  }

  void ExpandBackend(const Node& node) {
    for (std::size_t i = 0; i < node.world.queue().size(); ++i) {
      if (node.world.queue()[i].allowed) {
        Try(node, "dispatch@" + node.world.queue()[i].host,
            [i](Node& next) { next.world.Dispatch(i); });
      }
    }
    for (std::size_t i = 0; i < node.world.running().size(); ++i) {
      Try(node, "finish",
          [i](Node& next) { next.world.Finish(i, JobOutcome::kDone); });
      if (node.left.sheds > 0) {
        Try(node, "shed", [i](Node& next) {
          --next.left.sheds;
          next.world.Finish(i, JobOutcome::kNotRun);
        });
      }
    }
  }

  void ExpandHosts(const Node& node) {
    for (const std::string& name : check_.hosts) {
      if (node.left.restarts > 0) {
        Try(node, "restart " + name, [&](Node& next) {
          --next.left.restarts;
          next.world.Restart(name);
          next.installed[name] = 0;
        });
      }
      if (node.left.expiries > 0 && HasOpenRequest(node, name)) {
        Try(node, "expire " + name, [&](Node& next) {
          --next.left.expiries;
          next.world.SetClock(name, next.world.host(name).now + kExpireStep);
        });
      }
      if (node.left.leaves > 0) {
        Try(node, "leave " + name, [&](Node& next) {
          --next.left.leaves;
          next.world.Leave(name);
        });
      }
    }
  }

  static bool HasOpenRequest(const Node& node, const std::string& host) {
    for (const auto& [id, tracked] : node.world.requests()) {
      if (tracked.submitted && !tracked.outcome && tracked.host == host) {
        return true;
      }
    }
    return false;
  }

  void ExpandEpochs(const Node& node) {
    if (node.epochs.size() == 1 && !check_.next_members.empty()) {
      Try(node, "write epoch", [&](Node& next) {
        next.epochs.push_back(MakeEpoch(next, check_.next_members));
      });
    }
    for (const std::string& name : check_.hosts) {
      for (std::size_t i = node.installed.at(name); i < node.epochs.size();
           ++i) {
        Try(node, "install " + std::to_string(i + 1) + "@" + name,
            [&, i](Node& next) {
              next.installed[name] = i + 1;
              next.world.Install(name, next.epochs[i]);
            });
      }
    }
  }

  void Try(const Node& node, const std::string& label, const Step& step) {
    Node next = node;
    ++next.depth;
    step(next);
    Add(std::move(next), label);
  }

  void Add(Node node, const std::string& label) {
    DropUndeliverable(node);
    if (!visited_.insert(std::hash<std::string>()(StateText(node))).second) {
      return;
    }
    ++result_.states;
    node.path += node.path.empty() ? label : ", " + label;
    if (result_.violation.empty()) {
      CheckPromises(node);
    }
    frontier_.push_back(std::move(node));
  }

  void CheckPromises(const Node& node) {
    if (!node.world.violations().empty()) {
      Fail(node, node.world.violations().front());
      return;
    }
    if (check_.finishes && result_.states % kFinishCheckStride == 0) {
      CheckFinishes(node);
    }
  }

  // With no further message, each request has its answer by its deadline.
  void CheckFinishes(const Node& node) {
    JobWorld world = node.world;
    for (const std::string& name : check_.hosts) {
      world.SetClock(name, world.host(name).now + kExpireStep);
    }
    for (const auto& [id, tracked] : world.requests()) {
      if (tracked.submitted && !tracked.outcome) {
        Fail(node, "a request has no answer after its deadline");
      }
    }
    if (!world.violations().empty()) {
      Fail(node, world.violations().front());
    }
  }

  void Fail(const Node& node, const std::string& violation) {
    result_.violation = violation;
    result_.path = node.path;
    result_.depth = node.depth;
  }

  void DropUndeliverable(Node& node) const {
    if (check_.faults.serve_after_restart) {
      return;
    }
    std::erase_if(node.world.network(), [&](const JobWorld::PacketPtr& packet) {
      return node.world.host(packet->message.to.name).id != packet->message.to;
    });
  }

  static void JobText(const QueuedJob& job, std::ostream& out) {
    out << job.host << job.incarnation << "," << job.attempt.term << ","
        << job.attempt.view << "," << job.attempt.sequence << job.allowed
        << ";";
  }

  // Text that is the same for equal states.
  std::string StateText(const Node& node) const {
    std::ostringstream out;
    const JobWorld& world = node.world;
    for (const auto& [name, host] : world.hosts()) {
      out << name << host->now.count() << host->Dump()
          << node.installed.at(name);
    }
    std::multiset<std::string> packets;
    for (const JobWorld::PacketPtr& packet : world.network()) {
      packets.insert(packet->Text());
    }
    for (const std::string& packet : packets) {
      out << packet << "|";
    }
    for (const QueuedJob& job : world.queue()) {
      JobText(job, out);
    }
    out << "running ";
    for (const QueuedJob& job : world.running()) {
      JobText(job, out);
    }
    for (const auto& [id, tracked] : world.requests()) {
      out << id << tracked.host << tracked.depose << tracked.submitted
          << tracked.redirects
          << (tracked.outcome ? JobOutcomeName(*tracked.outcome) : "open");
    }
    for (const JobAttempt& attempt : world.refused()) {
      out << "refused" << attempt.term << "," << attempt.view << ","
          << attempt.sequence;
    }
    out << "runs" << world.runs({"print", "k"}) << "epochs"
        << node.epochs.size();
    for (const JobEpoch& epoch : node.epochs) {
      for (const HostId& member : epoch.pools.front().term.members) {
        out << member.name << member.incarnation;
      }
    }
    const Budget& left = node.left;
    out << "left" << left.requests << left.duplicates << left.restarts
        << left.sheds << left.expiries << left.leaves;
    return out.str();
  }

  // Every how many states the search checks that all requests finish.
  static constexpr std::size_t kFinishCheckStride = 4;

  CheckCase check_;
  CheckResult result_;
  std::deque<Node> frontier_;
  std::unordered_set<std::size_t> visited_;
};

}  // namespace heatherlever

#endif  // HEATHERLEVER_LIB_JOB_EXPLORER_FOR_TEST_H_
