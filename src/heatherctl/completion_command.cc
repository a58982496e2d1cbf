#include "heatherctl/completion_command.h"

#include <iostream>
#include <string>

#include "heatherctl/command.h"
#include "heatherctl/platform_access.h"

namespace heatherctl {
namespace {

constexpr char kOptions[] =
    "--platform --json --expect-version --name --ramp --version --help";

// Options after "-", a command as the first word, files after it.
constexpr char kScriptEnd[] = R"(
  local word=${COMP_WORDS[COMP_CWORD]} i
  if [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$word"))
    return
  fi
  for ((i = 1; i < COMP_CWORD; ++i)); do
    if [[ " $commands " == *" ${COMP_WORDS[i]} "* ]]; then
      COMPREPLY=($(compgen -f -- "$word"))
      return
    fi
  done
  COMPREPLY=($(compgen -W "$commands" -- "$word"))
}
complete -o filenames -F _heatherctl heatherctl
)";

}  // namespace

int RunCompletion(const CommandLine& line) {
  if (line.arguments.size() != 1 || line.arguments.front() != "bash") {
    throw InputError("completion wants the name of a shell: bash");
  }
  std::string commands;
  for (const Command& command : Commands()) {
    commands += (commands.empty() ? "" : " ") + command.name;
  }
  std::cout << "_heatherctl() {\n  local commands=\"" << commands
            << "\"\n  local options=\"" << kOptions << "\"" << kScriptEnd;
  return kExitOk;
}

}  // namespace heatherctl
