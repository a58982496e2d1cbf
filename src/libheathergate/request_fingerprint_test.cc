#include "libheathergate/request_fingerprint.h"

#include <gtest/gtest.h>

#include "heathergate/header_names.h"
#include "heathergate/http_exchange.h"

namespace heathergate {
namespace {

std::uint64_t Fingerprint(const std::string& target,
                          const std::string& body,
                          const std::string& key,
                          const std::string& id) {
  const HeaderNames names;
  HttpHead head;
  head.method = "POST";
  head.target = target;
  head.fields = {{"Host", "a.example"},
                 {names.affinity_key, key},
                 {names.request_id, id},
                 {names.time_left, id}};
  return RequestFingerprint(HttpExchange(head, body, heatherlever::Instant(0),
                                         [](const HttpResponse&) {}),
                            names);
}

TEST(RequestFingerprintTest, AttemptsOfTheSameRequestAreEqual) {
  EXPECT_EQ(Fingerprint("/x/1", "body", "k", "1"),
            Fingerprint("/x/1", "body", "k", "2"));
}

TEST(RequestFingerprintTest, RequestsThatDifferInOnePartAreNot) {
  const std::uint64_t one = Fingerprint("/x/1", "body", "k", "1");
  EXPECT_NE(one, Fingerprint("/x/2", "body", "k", "1"));
  EXPECT_NE(one, Fingerprint("/x/1", "bodz", "k", "1"));
  EXPECT_NE(one, Fingerprint("/x/1", "body", "l", "1"));
  EXPECT_NE(Fingerprint("/x/1", "", "k1", "1"),
            Fingerprint("/x/1", "1", "k", "1"));
}

}  // namespace
}  // namespace heathergate
