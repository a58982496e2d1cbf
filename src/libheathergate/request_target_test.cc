#include "libheathergate/request_target.h"

#include <gtest/gtest.h>

#include <string>

#include "heathergate/http_head.h"

namespace heathergate {
namespace {

HttpHead HeadOf(const std::string& target) {
  HttpHead head;
  head.target = target;
  head.fields = {{"host", "b.example"}, {"X", "1"}};
  return head;
}

TEST(RequestTargetTest, AbsoluteFormNamesTheHostAndThePath) {
  struct Case {
    const char* target;
    const char* host;
    const char* path;
  };
  for (const Case& c :
       {Case{"http://a.example/x/1?q=/", "a.example", "/x/1?q=/"},
        Case{"HTTP://a.example:8080", "a.example:8080", "/"},
        Case{"http://a.example?q", "a.example", "/?q"}}) {
    HttpHead head = HeadOf(c.target);
    EXPECT_TRUE(ToOriginForm(head));
    EXPECT_EQ(head.target, c.path);
    ASSERT_EQ(head.fields.size(), 2u);
    EXPECT_EQ(*head.Find("Host"), c.host);
  }
}

TEST(RequestTargetTest, OtherFormsStay) {
  for (const char* target : {"/x/http://a", "*", "a.example:80", ""}) {
    HttpHead head = HeadOf(target);
    EXPECT_TRUE(ToOriginForm(head));
    EXPECT_EQ(head.target, target);
    EXPECT_EQ(*head.Find("Host"), "b.example");
  }
}

TEST(RequestTargetTest, AbsoluteFormWithoutHostOrWithUserIsRefused) {
  for (const char* target : {"http:///x", "http://u@a.example/x"}) {
    HttpHead head = HeadOf(target);
    EXPECT_FALSE(ToOriginForm(head));
  }
}

// Servers that end the target there ran another path.
TEST(RequestTargetTest, TargetWithAnotherWhitespaceIsRefused) {
  for (const char* target : {"/x/\t1", "/x/\f1", "http://a.example/x\t"}) {
    HttpHead head = HeadOf(target);
    EXPECT_FALSE(ToOriginForm(head));
  }
}

}  // namespace
}  // namespace heathergate
