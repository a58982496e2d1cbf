#ifndef HEATHERNET_OUTPUT_WRITER_H_
#define HEATHERNET_OUTPUT_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "heatherlever/instant.h"

namespace heathernet {

/// Writes text to a descriptor from a thread of its own, so that the caller
/// never waits for a reader or a disk. Leaves the descriptor's flags as they
/// are. Called from one thread.
class OutputWriter {
 public:
  explicit OutputWriter(int descriptor);

  /// Leaves the thread behind if it is still waiting for a reader.
  ~OutputWriter();
  OutputWriter(const OutputWriter&) = delete;
  OutputWriter& operator=(const OutputWriter&) = delete;

  void Write(std::string text);

  /// Waits until everything is written, `timeout` at most. Later calls of
  /// Write() have no effect.
  void Finish(heatherlever::Duration timeout);

  /// Number of bytes not yet written.
  std::size_t pending_bytes() const;

  /// Number of lines that could not be written.
  std::uint64_t failed_lines() const;

 private:
  struct State;

  // The thread may outlive the writer.
  std::shared_ptr<State> state_;
  bool thread_started_ = false;
};

}  // namespace heathernet

#endif  // HEATHERNET_OUTPUT_WRITER_H_
