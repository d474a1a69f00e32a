#include "fold_detector.h"

#include <string>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

// Reads `text` in pieces of `size` bytes.
bool IsFolded(const std::string& text, std::size_t size) {
  FoldDetector detector;
  bool folded = false;
  for (std::size_t at = 0; at < text.size(); at += size) {
    folded = detector.Read(std::string_view(text).substr(at, size)) || folded;
  }
  return folded;
}

// A fold that is missed lets a caller send a value that other servers read
// differently.
TEST(FoldDetectors, FindFoldsWhereverAReadEnds) {
  for (const char* folded :
       {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "GET / HTTP/1.1\nA: b\n\tc\n\n",
        "GET / HTTP/1.1\r\nA:\r\n c\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n A: b",
        "GET / HTTP/1.1\r\nA: b\r\n \r\n\r\n"}) {
    for (std::size_t size = 1; size < 40; ++size) {
      EXPECT_TRUE(IsFolded(folded, size)) << folded << size;
    }
  }
}

TEST(FoldDetectors, IgnoreBlanksElsewhere) {
  for (const char* plain :
       {"GET / HTTP/1.1\r\nA: b \r\nC:\t d\r\n\r\n",
        "POST / HTTP/1.1\r\nA: b\r\n\r\n body\r\n more",
        "POST / HTTP/1.1\nA: b\n\n body\n more", "GET / HTTP/1.1\r\n\r\n x"}) {
    for (std::size_t size = 1; size < 40; ++size) {
      EXPECT_FALSE(IsFolded(plain, size)) << plain << size;
    }
  }
}

}  // namespace
}  // namespace snipeworks
