#ifndef HEATHERNET_LOG_H_
#define HEATHERNET_LOG_H_

#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace heathernet {

/// The logger of one part of the program. Every line it writes, to standard
/// error, carries `[part]` as a fixed prefix.
std::shared_ptr<spdlog::logger> PartLogger(const std::string& part);

/// Sets the level of every logger: trace, debug, info, warning, error,
/// critical or off. Returns false, and changes nothing, for another word.
bool SetLogLevel(const std::string& level);

}  // namespace heathernet

#endif  // HEATHERNET_LOG_H_
