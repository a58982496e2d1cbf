#include "heathernet/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "libheathernet/line_formatter.h"

namespace heathernet {
namespace {

constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%e %L [%n] %v";

}  // namespace

std::shared_ptr<spdlog::logger> PartLogger(const std::string& part) {
  if (auto existing = spdlog::get(part)) {
    return existing;
  }
  auto logger = spdlog::stderr_logger_mt(part);
  logger->set_formatter(std::make_unique<LineFormatter>(kPattern));
  return logger;
}

bool SetLogLevel(const std::string& level) {
  const auto parsed = spdlog::level::from_str(level);
  if (parsed == spdlog::level::off && level != "off") {
    return false;
  }
  spdlog::set_level(parsed);
  return true;
}

}  // namespace heathernet
