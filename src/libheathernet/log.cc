#include "heathernet/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace heathernet {

std::shared_ptr<spdlog::logger> PartLogger(const std::string& part) {
  if (auto existing = spdlog::get(part)) {
    return existing;
  }
  auto logger = spdlog::stderr_logger_mt(part);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %L [%n] %v");
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
