#include "snipeworks/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace snipeworks {
namespace {

class EventLogTest : public ::testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(pipe(ends), 0); }
  void TearDown() override {
    close(ends[0]);
    close(ends[1]);
  }

  std::string Read() {
    std::string text(1 << 20, '\0');
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t size = read(ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

  int ends[2] = {-1, -1};
};

TEST_F(EventLogTest, WritesOneJsonObjectPerLine) {
  EventLog log(ends[1], "host-1");
  log.Write(EventKind::kRequest,
            {{"request", "a\"b\xff"}, {"status", 200}, {"ok", true}});
  log.Flush();
  const std::string text = Read();
  ASSERT_TRUE(text.ends_with("}\n"));
  const auto line = nlohmann::json::parse(text);
  EXPECT_EQ(line["event"], "request");
  EXPECT_EQ(line["host"], "host-1");
  EXPECT_EQ(line["status"], 200);
  EXPECT_EQ(line["ok"], true);
}

TEST_F(EventLogTest, BatchesLinesAndFlushesUrgentOnesAtOnce) {
  EventLog log(ends[1], "h");
  const Instant now{std::chrono::seconds(1000)};
  log.FlushIfDue(now);
  log.Write(EventKind::kAttempt, {{"latency_ms", 0.5}});
  log.FlushIfDue(now + std::chrono::milliseconds(1));
  EXPECT_EQ(Read(), "");
  log.FlushIfDue(now + std::chrono::milliseconds(60));
  EXPECT_NE(Read().find(R"("latency_ms":0.5})"), std::string::npos);
  log.Write(EventKind::kReady, {});
  log.FlushIfDue(now + std::chrono::milliseconds(61));
  EXPECT_NE(Read().find("\"ready\""), std::string::npos);
}

TEST_F(EventLogTest, DropsAndCountsLinesAboveTheRateLimit) {
  EventLog log(ends[1], "h", {.lines_per_second = 10});
  for (int i = 0; i < 50; ++i) {
    log.Write(EventKind::kAttempt, {});
  }
  // Two rate windows if a second ends during the loop.
  EXPECT_LE(log.lines(), 21U);
  EXPECT_GE(log.dropped(), 29U);
  log.Write(EventKind::kStopped, {});
  log.Flush();
  EXPECT_NE(Read().find("\"stopped\""), std::string::npos);
}

// With no reader of the pipe, writes neither block nor grow the buffer without
// bound.
TEST_F(EventLogTest, NeverBlocksWithoutAReader) {
  EventLog log(ends[1], "h",
               {.lines_per_second = 1000000, .buffer_bytes = 10000});
  for (int i = 0; i < 20000; ++i) {
    log.Write(EventKind::kAttempt, {{"text", "some text of a usual length"}});
    log.Flush();
  }
  EXPECT_GT(log.dropped(), 10000U);
}

// docs/logs.md has a row for each event and no others.
TEST(EventTableTest, EveryEventIsDocumented) {
  std::ifstream file(SNIPEWORKS_SOURCE_DIR "/docs/logs.md");
  std::set<std::string> documented;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| `")) {
      documented.insert(line.substr(3, line.find('`', 3) - 3));
      const bool documented_exempt =
          line.find("` | yes |") != std::string::npos;
      for (const EventRow& row : EventTable()) {
        if (row.name == line.substr(3, line.find('`', 3) - 3)) {
          EXPECT_EQ(row.exempt_from_rate_limit, documented_exempt) << row.name;
          EXPECT_NE(line.find(row.brief), std::string::npos) << row.name;
        }
      }
    }
  }
  std::set<std::string> known;
  for (const EventRow& row : EventTable()) {
    known.insert(std::string(row.name));
  }
  EXPECT_EQ(documented, known);
}

TEST(EventTableTest, EventNamesAreUnique) {
  std::set<std::string_view> names;
  std::size_t index = 0;
  for (const EventRow& row : EventTable()) {
    EXPECT_EQ(static_cast<std::size_t>(row.kind), index++);
    EXPECT_TRUE(names.insert(row.name).second) << row.name;
    EXPECT_FALSE(row.brief.empty());
  }
}

}  // namespace
}  // namespace snipeworks
