#include "heatherctl/request_trace.h"

#include <array>
#include <cstddef>
#include <set>
#include <sstream>
#include <string_view>

namespace heatherctl {
namespace {

struct ReasonMeaning {
  std::string_view reason;
  std::string_view meaning;
};

// Reasons as the gateway logs them.
constexpr std::array kMeanings = {
    ReasonMeaning{"answered",
                  "a backend server answered; the status is the server's own"},
    ReasonMeaning{"no room",
                  "no server of the request's key had room within the hold: "
                  "see the load and the limit of the first choice"},
    ReasonMeaning{"no server took it",
                  "every server tried refused it or could not be reached, and "
                  "no repeat was allowed; it has not run"},
    ReasonMeaning{"servers run out of time",
                  "most requests of the route ended at their deadline lately, "
                  "so a part is rejected before it is sent; it has not run"},
    ReasonMeaning{"servers at their rate limits",
                  "every usable server states a rate limit and this host's "
                  "part of each is used up; it has not run"},
    ReasonMeaning{"servers want no requests",
                  "every usable server turned requests of this host away with "
                  "Retry-After; other hosts may serve it; it has not run"},
    ReasonMeaning{"no backend server is reachable",
                  "this host is cut off from all servers, and none of the "
                  "hosts in detours took the request; it has not run"},
    ReasonMeaning{"outcome unknown",
                  "the exchange with the last server, or with the last host in "
                  "detours, broke after the request was sent: it may have run"},
    ReasonMeaning{"deadline passed",
                  "the last server held it until the time was up"},
    ReasonMeaning{"deadline passed before it was sent",
                  "no server could be reached in time; it has not run"},
    ReasonMeaning{
        "no room for a repeat",
        "it may have run at the servers named, and no other had room"},
    ReasonMeaning{"client left", "the client closed its connection first"},
    ReasonMeaning{"no configuration is known yet",
                  "the host had just started and got no configuration in time"},
};

bool Contains(std::string_view line, std::string_view text) {
  return line.find(text) != std::string_view::npos;
}

// The value after `name=`, up to the next space.
std::string Field(const std::string& line, const std::string& name) {
  const std::size_t at = line.find(" " + name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + name.size() + 2;
  return line.substr(begin, line.find(' ', begin) - begin);
}

std::string Reason(const std::string& line) {
  constexpr std::string_view kKey = "reason=\"";
  const std::size_t at = line.find(kKey);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t begin = at + kKey.size();
  return line.substr(begin, line.find('"', begin) - begin);
}

std::string MeaningOf(const std::string& reason) {
  for (const ReasonMeaning& entry : kMeanings) {
    if (entry.reason == reason) {
      return std::string(entry.meaning);
    }
  }
  return "";
}

// Servers that the request's own lines name.
std::set<std::string> ServersOf(const std::vector<std::string>& own) {
  std::set<std::string> servers;
  for (const std::string& line : own) {
    std::istringstream tried(Field(line, "servers"));
    for (std::string server; std::getline(tried, server, ',');) {
      servers.insert(server);
    }
    const std::string first = Field(line, "first");
    if (!first.empty()) {
      servers.insert(first);
    }
  }
  return servers;
}

// Whether a line tells a belief that may explain the request's end.
bool Explains(const std::string& line,
              const std::set<std::string>& servers,
              const std::string& version) {
  if (!version.empty() &&
      Contains(line, "configuration " + version + " in force")) {
    return true;
  }
  for (const std::string& server : servers) {
    if (Contains(line, "backend server " + server) ||
        Contains(line, "broken at " + server)) {
      return true;
    }
  }
  return false;
}

}  // namespace

RequestTrace TraceRequest(const std::string& id,
                          const std::vector<std::string>& lines) {
  RequestTrace trace;
  std::size_t end = 0;
  std::string version;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    if (!Contains(lines[i], "id=" + id + " ")) {
      continue;
    }
    trace.own.push_back(lines[i]);
    end = i;
    const std::string reason = Reason(lines[i]);
    if (!reason.empty()) {
      trace.meaning = MeaningOf(reason);
      version = Field(lines[i], "config");
    }
  }
  const std::set<std::string> servers = ServersOf(trace.own);
  for (std::size_t i = 0; i < end; ++i) {
    if (!Contains(lines[i], "id=" + id + " ") &&
        Explains(lines[i], servers, version)) {
      trace.context.push_back(lines[i]);
    }
  }
  return trace;
}

}  // namespace heatherctl
