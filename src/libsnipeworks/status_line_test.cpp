#include "status_line.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

TEST(StatusLines, AreThoseOfHttp1WithAStatusOfThreeDigits) {
  for (const char* line :
       {"HTTP/1.1 200 OK", "HTTP/1.0 404 Not Found", "HTTP/1.1 503",
        "HTTP/1.1 200 ", "HTTP/1.1 100 Continue", "HTTP/1.1 599 x",
        "HTTP/1.1 200 \xc3\xbc\tb"}) {
    EXPECT_TRUE(IsStatusLine(line)) << line;
  }
  for (const char* line : {"",
                           "HTTP/1.1",
                           "HTTP/1.1 20 OK",
                           "HTTP/1.1 2 OK",
                           "HTTP/1.1 020 OK",
                           "HTTP/1.1 0200 OK",
                           "HTTP/1.1 2000 OK",
                           "HTTP/1.1 200OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1 099 x",
                           "HTTP/1.1 600 x",
                           "HTTP/1.1 999 x",
                           "HTTP/1.1 000 x",
                           "HTTP/1.1 -20 x",
                           "HTTP/1.1 2x0 x",
                           "HTTP/1.1 101 Switching Protocols",
                           "HTTP/0.9 200 OK",
                           "HTTP/2.0 200 OK",
                           "HTTP/11.1 200 OK",
                           "HTTP/1.11 200 OK",
                           "HTTP/1. 200 OK",
                           "http/1.1 200 OK",
                           "ICY 200 OK",
                           "xHTTP/1.1 200 OK",
                           " HTTP/1.1 200 OK",
                           "HTTP/1.1\t200 OK",
                           "HTTP/1.1 200\tOK",
                           "HTTP/1.1 200 O\x01K",
                           "HTTP/1.1 200 O\rK",
                           "HTTP/1.1 200 \x7f"}) {
    EXPECT_FALSE(IsStatusLine(line)) << line;
  }
}

TEST(StatusLines, AreReadFromPiecesOfAnyLength) {
  const std::string response = "\r\n\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n";
  const std::size_t line_end = response.find("A: b");
  for (std::size_t cut = 0; cut <= line_end; ++cut) {
    StatusLineReader reader;
    const std::size_t first = reader.Read(response.substr(0, cut));
    EXPECT_EQ(first, cut);
    if (cut < line_end) {
      ASSERT_EQ(reader.state(), StatusLineReader::State::kReading) << cut;
      EXPECT_EQ(first + reader.Read(response.substr(cut)), line_end);
    }
    EXPECT_EQ(reader.state(), StatusLineReader::State::kValid) << cut;
  }
}

TEST(StatusLines, AreInvalidBeyondTheirMaximumLength) {
  StatusLineReader reader;
  const std::string piece(1000, 'x');
  for (int i = 0; i < 8; ++i) {
    reader.Read(piece);
    ASSERT_EQ(reader.state(), StatusLineReader::State::kReading);
  }
  reader.Read(piece);
  EXPECT_EQ(reader.state(), StatusLineReader::State::kInvalid);
  reader.Reset();
  reader.Read("HTTP/1.1 204 No Content\n");
  EXPECT_EQ(reader.state(), StatusLineReader::State::kValid);
}

}  // namespace
}  // namespace snipeworks
