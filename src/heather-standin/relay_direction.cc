#include "heather-standin/relay_direction.h"

namespace heather_standin {

RelayDirection::RelayDirection(RelayWay way,
                               Socket& source,
                               Socket& sink,
                               const RelayFaults& faults)
    : way_(way),
      source_(source),
      sink_(sink),
      faults_(faults),
      timer_(source.get_executor()) {}

void RelayDirection::Start(const std::weak_ptr<RelayListener>& listener) {
  listener_ = listener;
  Read();
}

void RelayDirection::FaultsChanged() {
  timer_.cancel();
  WriteNext();
}

void RelayDirection::GoSilent() {
  silent_ = true;
  timer_.cancel();
}

void RelayDirection::Read() {
  if (reading_ || ended_ || silent_ || IsFull()) {
    return;
  }
  reading_ = true;
  source_.async_read_some(
      asio::buffer(buffer_),
      [this, listener = listener_.lock()](const asio::error_code& error,
                                          std::size_t size) {
        reading_ = false;
        if (silent_) {
          return;
        }
        if (error && error != asio::error::eof) {
          listener->DirectionFailed();
          return;
        }
        ended_ = static_cast<bool>(error);
        held_.push_back({std::chrono::steady_clock::now() + faults_.delay,
                         std::string(buffer_.data(), ended_ ? 0 : size)});
        held_bytes_ += size;
        WriteNext();
        Read();
      });
}

void RelayDirection::WriteNext() {
  if (writing_ || silent_ || held_.empty() || faults_.IsCut(way_)) {
    return;
  }
  if (held_.front().due <= std::chrono::steady_clock::now()) {
    Write(held_.front());
    return;
  }
  timer_.expires_at(held_.front().due);
  timer_.async_wait(
      [this, listener = listener_.lock()](const asio::error_code& error) {
        if (!error) {
          WriteNext();
        }
      });
}

void RelayDirection::Write(const Chunk& chunk) {
  if (chunk.data.empty()) {
    asio::error_code ignored;
    sink_.shutdown(Socket::shutdown_send, ignored);
    held_.pop_front();
    if (const auto listener = listener_.lock()) {
      listener->DirectionFinished();
    }
    return;
  }
  writing_ = true;
  asio::async_write(sink_, asio::buffer(chunk.data),
                    [this, listener = listener_.lock()](
                        const asio::error_code& error, std::size_t) {
                      writing_ = false;
                      if (silent_) {
                        return;
                      }
                      if (error) {
                        listener->DirectionFailed();
                        return;
                      }
                      held_bytes_ -= held_.front().data.size();
                      held_.pop_front();
                      WriteNext();
                      Read();
                    });
}

}  // namespace heather_standin
