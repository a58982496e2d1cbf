#include "heatherctl/command.h"

#include "heatherctl/completion_command.h"
#include "heatherctl/config_commands.h"
#include "heatherctl/drain_commands.h"
#include "heatherctl/host_commands.h"
#include "heatherctl/trace_command.h"

namespace heatherctl {

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"check", "FILE", "whether a configuration would be accepted", RunCheck},
      {"diff", "FILE", "compare a file with the newest version", RunDiff},
      {"apply", "FILE", "make a file the newest version", RunApply},
      {"drain", "SELECTOR", "add a drain to the newest version", RunDrain},
      {"undrain", "NAME", "take a drain out of the newest version", RunUndrain},
      {"status", "", "versions in force and entry hosts", RunStatus},
      {"dump", "ADDRESS:PORT", "state of an entry host (admin port)", RunDump},
      {"explain", "ADDRESS:PORT KIND CLIENT",
       "where a request would go, and why", RunExplain},
      {"trace", "ID FILE...",
       "the end of a request and its cause, by hosts' logs", RunTrace},
      {"completion", "bash", "print a script that completes these words",
       RunCompletion},
  };
  return commands;
}

}  // namespace heatherctl
