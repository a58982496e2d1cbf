#include "news_log.h"

#include <gtest/gtest.h>

namespace heatherlever {
namespace {

using Keys = std::vector<std::string>;

TEST(NewsLogTest, SendsEachChangeOnceInItsNewestVersion) {
  NewsLog log;
  log.Record("old", "");
  log.AddPeer("p");
  log.Record("a", "");
  log.Record("b", "");
  log.Record("a", "");
  EXPECT_EQ(log.Take("p", 10), (Keys{"b", "a"}));
  EXPECT_EQ(log.Take("p", 10), Keys{});
  log.Record("b", "");
  EXPECT_EQ(log.Take("p", 10), Keys{"b"});
}

TEST(NewsLogTest, LimitsOneTakeAndGoesOn) {
  NewsLog log;
  log.AddPeer("p");
  log.Record("a", "");
  log.Record("b", "");
  EXPECT_EQ(log.Take("p", 1), Keys{"a"});
  EXPECT_EQ(log.Take("p", 1), Keys{"b"});
}

TEST(NewsLogTest, PassesOverWhatThePeerKnows) {
  NewsLog log;
  log.AddPeer("p");
  log.Record("a", "p");
  log.Record("b", "q");
  EXPECT_TRUE(log.MarkKnown("b", "p"));
  EXPECT_FALSE(log.MarkKnown("b", "p"));
  EXPECT_FALSE(log.MarkKnown("unknown", "p"));
  EXPECT_EQ(log.Take("p", 10), Keys{});
  EXPECT_EQ(log.Take("stranger", 10), Keys{});
}

}  // namespace
}  // namespace heatherlever
