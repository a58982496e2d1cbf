#include "heathergate/head_writer.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "heathergate/field_value.h"

namespace heathergate {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

HeadWriter HeadWriter::ForRequest(std::string_view method,
                                  std::string_view target) {
  HeadWriter head;
  head.Append(method);
  head.text_ += ' ';
  head.Append(target);
  head.text_ += " HTTP/1.1";
  head.text_ += kLineEnd;
  return head;
}

HeadWriter HeadWriter::ForResponse(int status, std::string_view reason) {
  HeadWriter head;
  head.text_ = "HTTP/1.1 " + std::to_string(status) + ' ';
  head.Append(reason);
  head.text_ += kLineEnd;
  return head;
}

void HeadWriter::AddField(std::string_view name, std::string_view value) {
  Append(name);
  text_ += ": ";
  Append(value);
  text_ += kLineEnd;
}

void HeadWriter::AddField(std::string_view name, std::size_t number) {
  AddField(name, std::to_string(number));
}

std::string HeadWriter::Finish() && {
  text_ += kLineEnd;
  return std::move(text_);
}

void HeadWriter::Append(std::string_view text) {
  const std::size_t begin = text_.size();
  text_ += text;
  std::replace_if(text_.begin() + static_cast<std::ptrdiff_t>(begin),
                  text_.end(), EndsLine, ' ');
}

}  // namespace heathergate
