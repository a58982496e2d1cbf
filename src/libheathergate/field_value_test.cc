#include "heathergate/field_value.h"

#include <gtest/gtest.h>

#include <string>

namespace heathergate {
namespace {

TEST(FieldValueTest, TextsThatAFieldCarriesUnchangedAreAccepted) {
  for (const char* text : {"i-7f3a91c2", "i", "i 1", "i\t1", "a,b;c=\"d\"\\e",
                           "../%0a", "i-\u00e9", "\u6771\u4eac-1"}) {
    EXPECT_TRUE(IsFieldValue(text)) << text;
  }
  EXPECT_TRUE(IsFieldValue(std::string(200, 'i')));
}

TEST(FieldValueTest, TextsThatEndALineOrLoseCharactersAreNotAccepted) {
  for (const char* text :
       {"", " ", "i-0\n", "i-0\r", "i-0\r\n", "\ni-0", "i\n0", "i\r0",
        "i-0\r\nX: y", "i-0\n\nGET / HTTP/1.1", "i-0 ", " i-0", "i-0\t",
        "\ti-0", "i\x01", "i\x1b[2J", "i\x7f"}) {
    EXPECT_FALSE(IsFieldValue(text)) << testing::PrintToString(text);
  }
  EXPECT_FALSE(IsFieldValue(std::string("i\0o", 3)));
}

}  // namespace
}  // namespace heathergate
