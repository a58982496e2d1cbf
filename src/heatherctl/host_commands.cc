#include "heatherctl/host_commands.h"

#include <httplib.h>

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "heatherctl/command.h"
#include "heatherctl/platform_access.h"
#include "heatherlever/config_record.h"
#include "heatherlever/epoch_codec.h"
#include "heatherlever/epoch_record.h"
#include "heathernet/config_store.h"
#include "heathernet/platform_client.h"
#include "heathernet/table_value.h"

namespace heatherctl {

using heatherlever::HostRecord;

namespace {

constexpr int kNameWidth = 28;
constexpr int kPlaceWidth = 18;
constexpr time_t kTimeoutS = 3;
constexpr int kStatusOk = 200;

// The body of an operators' page of an entry host.
std::string Fetch(const std::string& host, const std::string& path) {
  httplib::Client client("http://" + host);
  client.set_connection_timeout(kTimeoutS);
  client.set_read_timeout(kTimeoutS);
  const auto answer = client.Get(path);
  if (!answer || answer->status != kStatusOk) {
    throw std::runtime_error("no answer from http://" + host + path);
  }
  return answer->body;
}

void PrintHost(const HostRecord& host) {
  std::cout << std::left << std::setw(kNameWidth) << host.name
            << std::setw(kPlaceWidth) << host.region << std::setw(kPlaceWidth)
            << host.domain << host.address << ":" << host.http_port << "\n";
}

}  // namespace

int RunStatus(const CommandLine& line) {
  const auto client = ConnectPlatform(line.platform);
  const auto config = heathernet::ConfigStore(*client).Newest();
  const auto row = client->Get("epoch/current");
  const std::string text = row ? row->value : "";
  if (line.json) {
    std::cout << nlohmann::json{{"config_version",
                                 config ? config->version : 0},
                                {"epoch", row ? nlohmann::json::parse(text)
                                              : nlohmann::json()}}
              << "\n";
    return kExitOk;
  }
  std::cout << "newest configuration: version "
            << (config ? config->version : 0) << "\n";
  if (!row) {
    std::cout << "no epoch yet\n";
    return kExitOk;
  }
  const auto epoch = heatherlever::DecodeEpoch(text);
  if (!epoch.ok()) {
    throw std::runtime_error(std::string(epoch.status().message()));
  }
  std::cout << "epoch " << epoch->number << ", " << epoch->members.size()
            << " entry hosts\n";
  for (const HostRecord& host : epoch->members) {
    PrintHost(host);
  }
  return kExitOk;
}

int RunDump(const CommandLine& line) {
  if (line.arguments.size() != 1) {
    throw InputError("dump wants ADDRESS:PORT of an admin port");
  }
  std::cout << Fetch(line.arguments[0], "/state") << "\n";
  return kExitOk;
}

int RunExplain(const CommandLine& line) {
  if (line.arguments.size() != 3) {
    throw InputError("explain wants ADDRESS:PORT KIND CLIENT-ADDRESS");
  }
  const std::string body =
      Fetch(line.arguments[0], "/explain?kind=" + line.arguments[1] +
                                   "&address=" + line.arguments[2]);
  for (const auto& text : nlohmann::json::parse(body)) {
    std::cout << text.get<std::string>() << "\n";
  }
  return kExitOk;
}

}  // namespace heatherctl
