#include "heathernet/platform_client.h"

#include <array>
#include <utility>

#include "conditional_write.h"
#include "consul_codec.h"
#include "etcd_codec.h"
#include "heathernet/platform_error.h"
#include "marker_rows.h"
#include "platform_transport.h"
#include "table_requests.h"

namespace heathernet {
namespace {

using heatherlever::Duration;
using heatherlever::HostRecord;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

// The count of each WriteStatus.
using Count = std::uint64_t PlatformStatistics::*;
constexpr std::array<Count, 3> kStatusCounts = {
    &PlatformStatistics::written, &PlatformStatistics::conflicts,
    &PlatformStatistics::unavailable};

absl::Status Check(const PlatformSettings& settings) {
  if (settings.address.empty() || settings.port == 0) {
    return absl::InvalidArgumentError("platform: address or port is missing");
  }
  if (settings.client_id.empty()) {
    return absl::InvalidArgumentError("platform: client id is missing");
  }
  if (settings.call_deadline <= Duration(0) ||
      settings.answer_timeout <= Duration(0) ||
      settings.backoff_base <= Duration(0) ||
      settings.backoff_limit <= Duration(0)) {
    return absl::InvalidArgumentError("platform: a duration is not positive");
  }
  if (settings.reads_per_second <= 0 || settings.writes_per_second <= 0) {
    return absl::InvalidArgumentError("platform: a rate is not positive");
  }
  if (settings.read_burst < 1 || settings.write_burst < 1) {
    return absl::InvalidArgumentError("platform: a burst is less than 1");
  }
  return absl::OkStatus();
}

PlatformRequest ObjectRequest(PlatformAccess access,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body) {
  return {access,
          method,
          "/" + path,
          body,
          {{"Content-Type", "application/octet-stream"}}};
}

PlatformRequest HostRequest(const std::string& path, const std::string& body) {
  return {PlatformAccess::kWrite, "PUT", "/v1/agent/service/" + path, body, {}};
}

}  // namespace

class PlatformClient::Impl {
 public:
  explicit Impl(const PlatformSettings& settings)
      : transport_(settings), markers_(settings.client_id) {}

  PlatformTransport& transport() { return transport_; }

  std::map<std::string, TableValue> Rows(const std::string& request) {
    const PlatformAnswer answer = transport_.SendUntilAnswered(
        TableRead(request), transport_.CallDeadline());
    return EtcdCodec::ParseRows(CheckedBody(answer));
  }

  WriteResult Write(std::vector<TableGuard> guards,
                    std::vector<TableEntry> entries) {
    const std::int64_t row = markers_.Take();
    ConditionalWrite write(transport_, std::move(guards), std::move(entries),
                           markers_.Key(row));
    const WriteResult result = RunToStatus(write);
    if (result.status != WriteStatus::kUnavailable) {
      markers_.Return(row);
    }
    CountStatus(result.status);
    return result;
  }

  void CountStatus(WriteStatus status) {
    transport_.Count([&](PlatformStatistics& counts) {
      ++(counts.*kStatusCounts[static_cast<std::size_t>(status)]);
    });
  }

 private:
  WriteResult RunToStatus(ConditionalWrite& write) {
    try {
      return write.Run(transport_.CallDeadline());
    } catch (const PlatformError&) {
      return {WriteStatus::kUnavailable, 0};
    }
  }

  PlatformTransport transport_;
  MarkerRows markers_;
};

absl::StatusOr<std::unique_ptr<PlatformClient>> PlatformClient::Create(
    const PlatformSettings& settings) {
  if (const absl::Status status = Check(settings); !status.ok()) {
    return status;
  }
  return std::unique_ptr<PlatformClient>(
      new PlatformClient(std::make_unique<Impl>(settings)));
}

PlatformClient::PlatformClient(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

PlatformClient::~PlatformClient() = default;

std::optional<TableValue> PlatformClient::Get(const std::string& key) {
  const auto rows = impl_->Rows(EtcdCodec::KeyRequest(key));
  const auto found = rows.find(key);
  return found == rows.end() ? std::nullopt : std::optional(found->second);
}

std::map<std::string, TableValue> PlatformClient::ListPrefix(
    const std::string& prefix) {
  return impl_->Rows(EtcdCodec::PrefixRequest(prefix));
}

WriteResult PlatformClient::CompareAndSwap(
    const std::string& key,
    std::int64_t expected_version,
    const std::string& value,
    const std::vector<TableEntry>& also,
    const std::vector<TableGuard>& guards) {
  std::vector<TableEntry> entries = also;
  entries.push_back({key, value});
  std::vector<TableGuard> all_guards = {{key, expected_version}};
  all_guards.insert(all_guards.end(), guards.begin(), guards.end());
  return impl_->Write(std::move(all_guards), std::move(entries));
}

std::optional<StoredObject> PlatformClient::GetObject(const std::string& path) {
  PlatformTransport& transport = impl_->transport();
  const PlatformAnswer answer = transport.SendUntilAnswered(
      ObjectRequest(PlatformAccess::kRead, "GET", path, ""),
      transport.CallDeadline());
  if (answer.status == kNotFound) {
    return std::nullopt;
  }
  return StoredObject{CheckedBody(answer), answer.etag};
}

std::string PlatformClient::PutObject(const std::string& path,
                                      const std::string& body) {
  PlatformTransport& transport = impl_->transport();
  const PlatformAnswer answer = transport.SendUntilAnswered(
      ObjectRequest(PlatformAccess::kWrite, "PUT", path, body),
      transport.CallDeadline());
  CheckedBody(answer);
  return answer.etag;
}

WriteStatus PlatformClient::ReplaceObject(const std::string& path,
                                          const std::string& body,
                                          const std::string& expected_etag) {
  PlatformTransport& transport = impl_->transport();
  PlatformRequest request =
      ObjectRequest(PlatformAccess::kWrite, "PUT", path, body);
  request.headers.emplace(expected_etag.empty()
                              ? std::pair("If-None-Match", std::string("*"))
                              : std::pair("If-Match", expected_etag));
  try {
    const auto answer = transport.Send(request, transport.CallDeadline());
    if (answer && answer->status == kOk) {
      return WriteStatus::kWritten;
    }
    if (answer && answer->status == kPreconditionFailed) {
      return WriteStatus::kConflict;
    }
    // The object store keeps no identifiers of writes: only the very body
    // settles a lost answer, anything else may have replaced it since.
    const auto stored = GetObject(path);
    return stored && stored->body == body ? WriteStatus::kWritten
                                          : WriteStatus::kUnavailable;
  } catch (const PlatformError&) {
    return WriteStatus::kUnavailable;
  }
}

std::vector<HostRecord> PlatformClient::HostList() {
  PlatformTransport& transport = impl_->transport();
  const PlatformAnswer answer = transport.SendUntilAnswered(
      {PlatformAccess::kRead,
       "GET",
       std::string("/v1/health/service/") + ConsulCodec::kServiceName,
       "",
       {}},
      transport.CallDeadline());
  return ConsulCodec::ParseHealth(CheckedBody(answer));
}

void PlatformClient::Register(const HostRecord& host) {
  PlatformTransport& transport = impl_->transport();
  CheckedBody(transport.SendUntilAnswered(
      HostRequest("register", ConsulCodec::Registration(host)),
      transport.CallDeadline()));
}

void PlatformClient::MarkLeaving(const std::string& name) {
  PlatformTransport& transport = impl_->transport();
  CheckedBody(transport.SendUntilAnswered(
      HostRequest("maintenance/" + name + "?enable=true", ""),
      transport.CallDeadline()));
}

void PlatformClient::Deregister(const std::string& name) {
  PlatformTransport& transport = impl_->transport();
  const PlatformAnswer answer = transport.SendUntilAnswered(
      HostRequest("deregister/" + name, ""), transport.CallDeadline());
  if (answer.status != kNotFound) {
    CheckedBody(answer);
  }
}

PlatformStatistics PlatformClient::statistics() const {
  return impl_->transport().statistics();
}

}  // namespace heathernet
