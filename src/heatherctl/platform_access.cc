#include "heatherctl/platform_access.h"

#include <unistd.h>

#include <charconv>
#include <random>
#include <utility>

#include "heatherlever/ipv4.h"
#include "heathernet/platform_client.h"
#include "heathernet/platform_settings.h"
#include "libheatherlever/text_file.h"

namespace heatherctl {
namespace {

constexpr unsigned kMaxPort = 65535;

}  // namespace

std::unique_ptr<heathernet::PlatformClient> ConnectPlatform(
    const std::string& address) {
  const std::size_t colon = address.find(':');
  unsigned port = 0;
  const char* end = address.data() + address.size();
  if (colon != std::string::npos) {
    std::from_chars(address.data() + colon + 1, end, port);
  }
  const std::string host = address.substr(0, colon);
  if (!heatherlever::ParseIpv4(host) || port == 0 || port > kMaxPort) {
    throw InputError(
        "--platform wants an address such as 127.0.0.1:2379, "
        "found '" +
        address + "'");
  }
  std::random_device device;
  heathernet::PlatformSettings settings;
  settings.address = host;
  settings.port = static_cast<std::uint16_t>(port);
  settings.client_id =
      "heatherctl." + std::to_string(getpid()) + "." + std::to_string(device());
  settings.seed = device();
  auto client = heathernet::PlatformClient::Create(settings);
  if (!client.ok()) {
    throw InputError(std::string(client.status().message()));
  }
  return *std::move(client);
}

std::string ReadFile(const std::string& path) {
  auto text = heatherlever::ReadTextFile(path);
  if (!text) {
    throw InputError(path + ": the file cannot be read");
  }
  return *std::move(text);
}

}  // namespace heatherctl
