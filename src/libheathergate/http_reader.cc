#include "heathergate/http_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>

#include "heathergate/http_head.h"
#include "heathergate/http_status.h"
#include "libheathergate/request_target.h"

namespace heathergate {

struct HttpReader::Impl {
  http_parser parser{};
  http_parser_settings settings{};
  Kind kind = Kind::kRequest;
  ReadLimits limits;
  HttpHead head;
  std::string body;
  std::size_t head_bytes = 0;
  // What has been received of the start line, up to kMaxStatusBytes.
  std::string start_line;
  bool started = false;
  bool in_value = false;
  bool head_complete = false;
  bool complete = false;
  bool no_body = false;
  bool skipped_body = false;
  bool head_too_large = false;
  bool body_too_large = false;

  void AddToStartLine(std::string_view data);
};

namespace {

constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr std::size_t kStatusDigits = 3;
// Size of the part of a start line in which its status has to end.
constexpr std::size_t kMaxStatusBytes = 32;
// Return values of on_headers_complete that http_parser defines.
constexpr int kReadBody = 0;
constexpr int kSkipBody = 1;
constexpr int kStopParser = -1;

// Whether a field name is a token of RFC 9110; http_parser accepts spaces in
// names.
bool IsToken(const std::string& name) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [&](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  kSymbols.find(static_cast<char>(c)) != std::string_view::npos;
         });
}

std::size_t HeadBytes(const HttpHead& head) {
  std::size_t bytes = head.target.size();
  for (const HeaderField& field : head.fields) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

// Whether a response with this status ends with its head, whatever its fields
// say (RFC 9112, 6.3).
bool EndsWithHead(int status) {
  return status < kFirstFinalStatus || status == kStatusNoContent ||
         status == kStatusNotModified;
}

// Whether a status line has a status of HTTP (RFC 9110, 15) that can answer
// these requests: none of them offers another protocol. http_parser accepts one
// to three digits, and more with zeros before them.
bool HasKnownStatus(std::string_view start_line, int status) {
  constexpr std::string_view kDigits = "0123456789";
  start_line.remove_prefix(std::min(start_line.find(' '), start_line.size()));
  start_line.remove_prefix(
      std::min(start_line.find_first_not_of(' '), start_line.size()));
  const std::size_t digits =
      std::min(start_line.find_first_not_of(kDigits), start_line.size());
  return digits == kStatusDigits && status >= kFirstStatus &&
         status <= kLastStatus && status != kSwitchingProtocols;
}

template <typename Impl>
Impl& ImplOf(http_parser* parser) {
  return *static_cast<Impl*>(parser->data);
}

}  // namespace

void HttpReader::Impl::AddToStartLine(std::string_view data) {
  if (kind != Kind::kResponse || start_line.size() >= kMaxStatusBytes) {
    return;
  }
  if (start_line.empty()) {
    // The parser skips empty lines before it.
    data.remove_prefix(std::min(data.find_first_not_of("\r\n"), data.size()));
  }
  start_line += data.substr(0, kMaxStatusBytes - start_line.size());
}

// Callbacks for http_parser. A template, because HttpReader::Impl is private.
template <typename Impl>
struct ReaderCallbacks {
  static int OnTarget(http_parser* parser, const char* at, size_t length) {
    ImplOf<Impl>(parser).head.target.append(at, length);
    return 0;
  }

  static int OnFieldName(http_parser* parser, const char* at, size_t length) {
    Impl& impl = ImplOf<Impl>(parser);
    if (impl.head_complete) {
      // Trailers are discarded.
      return 0;
    }
    if (impl.in_value || impl.head.fields.empty()) {
      impl.head.fields.emplace_back();
      impl.in_value = false;
    }
    impl.head.fields.back().name.append(at, length);
    return 0;
  }

  static int OnFieldValue(http_parser* parser, const char* at, size_t length) {
    Impl& impl = ImplOf<Impl>(parser);
    if (impl.head_complete) {
      return 0;
    }
    impl.in_value = true;
    impl.head.fields.back().value.append(at, length);
    return 0;
  }

  static int OnHeadersComplete(http_parser* parser) {
    Impl& impl = ImplOf<Impl>(parser);
    impl.head_complete = true;
    impl.head.keep_alive = http_should_keep_alive(parser) != 0;
    impl.head.accepts_interim =
        parser->http_major > 1 ||
        (parser->http_major == 1 && parser->http_minor >= 1);
    impl.head.status = static_cast<int>(parser->status_code);
    if (parser->type == HTTP_RESPONSE &&
        !HasKnownStatus(impl.start_line, impl.head.status)) {
      return kStopParser;
    }
    if (parser->type == HTTP_REQUEST) {
      impl.head.method =
          http_method_str(static_cast<http_method>(parser->method));
    }
    if (parser->type == HTTP_REQUEST) {
      if (parser->method == HTTP_CONNECT) {
        // The parser ends it at its head, and what follows is no request.
        return kStopParser;
      }
      // An offer to change the protocol may be ignored (RFC 9110, 7.8).
      parser->upgrade = 0;
    }
    const auto valid = [](const HeaderField& field) {
      return IsToken(field.name);
    };
    const auto& fields = impl.head.fields;
    if (!std::all_of(fields.begin(), fields.end(), valid)) {
      return kStopParser;
    }
    if (HeadBytes(impl.head) > impl.limits.head_bytes) {
      impl.head_too_large = true;
      return kStopParser;
    }
    const bool skip = impl.no_body || (parser->type == HTTP_RESPONSE &&
                                       EndsWithHead(impl.head.status));
    constexpr auto kUnknownLength = static_cast<std::uint64_t>(-1);
    const bool known_length = parser->content_length != kUnknownLength;
    if (skip) {
      impl.skipped_body = (parser->flags & F_CHUNKED) != 0 ||
                          (known_length && parser->content_length > 0);
      return kSkipBody;
    }
    if (known_length && parser->content_length > impl.limits.body_bytes) {
      impl.body_too_large = true;
      return kStopParser;
    }
    return kReadBody;
  }

  static int OnBody(http_parser* parser, const char* at, size_t length) {
    Impl& impl = ImplOf<Impl>(parser);
    if (impl.body.size() + length > impl.limits.body_bytes) {
      impl.body_too_large = true;
      return kStopParser;
    }
    impl.body.append(at, length);
    return 0;
  }

  static int OnMessageComplete(http_parser* parser) {
    Impl& impl = ImplOf<Impl>(parser);
    impl.complete = true;
    http_parser_pause(parser, 1);
    return 0;
  }
};

HttpReader::HttpReader(Kind kind, ReadLimits limits)
    : impl_(std::make_unique<Impl>()) {
  using Callbacks = ReaderCallbacks<Impl>;
  impl_->kind = kind;
  impl_->limits = limits;
  http_parser_settings_init(&impl_->settings);
  impl_->settings.on_url = Callbacks::OnTarget;
  impl_->settings.on_header_field = Callbacks::OnFieldName;
  impl_->settings.on_header_value = Callbacks::OnFieldValue;
  impl_->settings.on_headers_complete = Callbacks::OnHeadersComplete;
  impl_->settings.on_body = Callbacks::OnBody;
  impl_->settings.on_message_complete = Callbacks::OnMessageComplete;
  Reset();
}

HttpReader::~HttpReader() = default;

void HttpReader::Reset() {
  http_parser_init(&impl_->parser, impl_->kind == Kind::kRequest
                                       ? HTTP_REQUEST
                                       : HTTP_RESPONSE);
  impl_->parser.data = impl_.get();
  impl_->head = {};
  // Frees the memory, unlike clear().
  std::string().swap(impl_->body);
  impl_->head_bytes = 0;
  impl_->start_line.clear();
  impl_->started = false;
  impl_->in_value = false;
  impl_->head_complete = false;
  impl_->complete = false;
  impl_->no_body = false;
  impl_->skipped_body = false;
  impl_->head_too_large = false;
  impl_->body_too_large = false;
}

ReadStatus HttpReader::Feed(std::string_view data, std::size_t* used) {
  *used = 0;
  while (*used < data.size()) {
    const std::string_view rest = data.substr(*used);
    impl_->started = true;
    impl_->AddToStartLine(rest);
    const std::size_t taken = http_parser_execute(
        &impl_->parser, &impl_->settings, rest.data(), rest.size());
    *used += taken;
    if (impl_->head_too_large) {
      return ReadStatus::kHeadTooLarge;
    }
    if (impl_->body_too_large) {
      return ReadStatus::kBodyTooLarge;
    }
    if (impl_->complete) {
      const int status = impl_->head.status;
      if (impl_->kind == Kind::kRequest) {
        return ToOriginForm(impl_->head) ? ReadStatus::kComplete
                                         : ReadStatus::kMalformed;
      }
      if (status >= kFirstFinalStatus) {
        return ReadStatus::kComplete;
      }
      const bool no_body = impl_->no_body;
      Reset();
      impl_->no_body = no_body;
      continue;
    }
    if (HTTP_PARSER_ERRNO(&impl_->parser) != HPE_OK ||
        impl_->parser.upgrade != 0) {
      return ReadStatus::kMalformed;
    }
    if (!impl_->head_complete) {
      impl_->head_bytes += taken;
      if (impl_->head_bytes > impl_->limits.head_bytes) {
        return ReadStatus::kHeadTooLarge;
      }
    }
  }
  return ReadStatus::kNeedMore;
}

ReadStatus HttpReader::FeedEnd() {
  http_parser_execute(&impl_->parser, &impl_->settings, nullptr, 0);
  return impl_->complete ? ReadStatus::kComplete : ReadStatus::kMalformed;
}

void HttpReader::ExpectNoBody() {
  impl_->no_body = true;
}

void HttpReader::set_limits(ReadLimits limits) {
  impl_->limits = limits;
}

bool HttpReader::started() const {
  return impl_->started;
}

bool HttpReader::head_complete() const {
  return impl_->head_complete;
}

bool HttpReader::skipped_body() const {
  return impl_->skipped_body;
}

HttpHead& HttpReader::head() {
  return impl_->head;
}

std::string& HttpReader::body() {
  return impl_->body;
}

}  // namespace heathergate
