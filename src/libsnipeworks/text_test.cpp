#include "snipeworks/text.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace snipeworks {
namespace {

TEST(Texts, ArePrintableIfTheyAreUtf8WithoutControlCharacters) {
  for (const char* text :
       {"", "plain", " ~", "\xc2\xa0", "\xdf\xbf", "\xe0\xa0\x80",
        "\xef\xbf\xbf", "\xf0\x90\x80\x80", "\xf4\x8f\xbf\xbf"}) {
    EXPECT_TRUE(IsPrintable(text)) << text;
  }
  for (const char* text :
       {"\x1f", "\x7f", "\xc2\x80", "\xc2\x9f", "\x80", "\xbf", "\xc1\xbf",
        "\xc2", "\xc2\xc2", "\xe0\x9f\xbf", "\xed\xbf\xbf", "\xf0\x8f\xbf\xbf",
        "\xf4\x90\x80\x80", "\xff"}) {
    EXPECT_FALSE(IsPrintable(text));
  }
  EXPECT_FALSE(IsPrintable(std::string_view("a\0b", 3)));
}

// Names that other hosts send are not checked again.
TEST(Texts, OfAnyBytesCanBeWrittenAsJson) {
  std::string all;
  for (int byte = 0; byte < 256; ++byte) {
    all += static_cast<char>(byte);
  }
  const std::string text = WriteJson({{"name", all}});
  EXPECT_FALSE(nlohmann::json::parse(text, nullptr, false).is_discarded());
  EXPECT_EQ(WriteJson("k\xc3\xb6ln"), "\"k\xc3\xb6ln\"");
}

}  // namespace
}  // namespace snipeworks
