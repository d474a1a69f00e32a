#include "snipeworks/control_calls.h"

#include <sys/resource.h>

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "snipeworks/json_reader.h"

namespace snipeworks {
namespace {

std::string Report(const std::string& sequence, const std::string& extra = "") {
  return R"({"group":"g","address":"10.0.0.1:80","zone":"z","state":"serving",)"
         R"("version":"1","slots":2,"cold_ms":0,"incarnation":1,"sequence":)" +
         sequence + extra + "}";
}

HttpRequest PostOf(const std::string& path, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = std::move(body);
  return request;
}

// The largest amount of memory that the process has held, in megabytes.
long PeakMegabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss / 1024;
}

// A control host has 256 MB, and takes bodies of 8 MB.
TEST(OddEntries, ThatTakeTheMemoryOfAControlHost) {
  constexpr std::size_t kBytes = std::size_t{8} * 1024 * 1024;
  const auto repeat = [](const std::string& piece) {
    std::string text;
    while (text.size() < kBytes) {
      text += piece;
    }
    return text;
  };
  for (const std::string& body :
       {std::string(kBytes, '['), repeat("{\"a\":"), "[" + repeat("[],") + "0]",
        R"({"group":)" + repeat("[") + repeat("]") + "}",
        R"({"group":")" + std::string(kBytes, 'g') + "\"}"}) {
    for (const char* path : {"/v1/targets/t/report", "/v1/targets/t/leave",
                             "/v1/routing/replace"}) {
      const long before = PeakMegabytes();
      const auto call = DecodeControlCall(PostOf(path, body), ControlNames());
      EXPECT_FALSE(call) << path;
      EXPECT_LE(PeakMegabytes() - before, 64) << path << body.substr(0, 12);
    }
  }
}

// What targets answer to snipe-entry goes through this parser.
TEST(OddEntries, ThatTakeTheMemoryOfAnEntryHost) {
  constexpr std::size_t kBytes = std::size_t{8} * 1024 * 1024;
  std::string values = "[0";
  while (values.size() < kBytes) {
    values += ",0";
  }
  for (const std::string& text : {std::string(kBytes, '['), values + "]"}) {
    const long before = PeakMegabytes();
    EXPECT_FALSE(ParseJson(text));
    EXPECT_LE(PeakMegabytes() - before, 64) << text.substr(0, 12);
  }
}

TEST(OddEntries, WithNumbersOutOfRange) {
  const auto is_valid = [](const std::string& body) {
    return ParseReport("t", body, ReportNames()).has_value();
  };
  EXPECT_TRUE(is_valid(Report("4")));
  for (const char* number : {"18446744073709551615", "9007199254740993000",
                             "1e300", "1e400", "-1"}) {
    EXPECT_FALSE(is_valid(Report(number))) << number;
    EXPECT_FALSE(
        is_valid(Report("4", R"(,"incarnation":)" + std::string(number))))
        << number;
    EXPECT_FALSE(is_valid(Report("4", R"(,"cold_ms":)" + std::string(number))))
        << number;
  }
}

// A name that is not text ended the control hosts that it was reported to: it
// reached the JSON writer from the path, unchecked.
TEST(OddEntries, WithNamesThatAreNotText) {
  const auto call_of = [](const std::string& name, const char* suffix) {
    return DecodeControlCall(
        PostOf("/v1/targets/" + name + suffix, Report("4")), ControlNames());
  };
  for (const char* name : {"t", "i-7f3a91c2", "k\xc3\xb6ln-\xe2\x82\xac",
                           "\xf0\x9f\xa5\x81", "a%20b c"}) {
    EXPECT_TRUE(call_of(name, "/report")) << name;
    EXPECT_TRUE(call_of(name, "/leave")) << name;
  }
  for (const char* name :
       {"i-\xff\xfe", "\x80", "a\xc3", "\xc3(", "\xc0\xaf", "\xe2\x82",
        "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "a\x01",
        "a\r\nX: y", "a\tb", "\x7f", "\xc2\x85"}) {
    const auto report = call_of(name, "/report");
    ASSERT_FALSE(report);
    EXPECT_EQ(report.error().kind, ErrorKind::kBadRequest);
    const auto leave = call_of(name, "/leave");
    ASSERT_FALSE(leave);
    EXPECT_EQ(leave.error().kind, ErrorKind::kBadRequest);
  }
  EXPECT_FALSE(call_of(std::string(257, 'a'), "/report"));
}

// Escapes in JSON reach control characters that the parser accepts.
TEST(OddEntries, WithControlCharactersInTheBody) {
  const auto is_valid = [](const std::string& group, const std::string& zone,
                           const std::string& address) {
    return ParseReport("t",
                       R"({"state":"serving","sequence":1,"version":"1",)"
                       R"("slots":1,"cold_ms":0,"incarnation":1,"group":")" +
                           group + R"(","zone":")" + zone + R"(","address":")" +
                           address + "\"}",
                       ReportNames())
        .has_value();
  };
  EXPECT_TRUE(is_valid("g", "z", "10.0.0.1:80"));
  EXPECT_FALSE(is_valid("g\\r\\nX: y", "z", "10.0.0.1:80"));
  EXPECT_FALSE(is_valid("g", "z\\u0000", "10.0.0.1:80"));
  EXPECT_FALSE(is_valid("g", "z", "10.0.0.1\\u0000\\r\\nX: y:80"));
  EXPECT_FALSE(is_valid("g", "", "10.0.0.1:80"));
}

TEST(OddEntries, WithAddressesOutOfRange) {
  for (const char* address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:99999999999",
        "10.0.0.256:80", "10.0.0.1", "host:80", "10.0.0.1:80 "}) {
    const std::string body =
        R"({"group":"g","zone":"z","state":"serving","sequence":1,"version":"1",)"
        R"("slots":1,"cold_ms":0,"incarnation":1,"address":")" +
        std::string(address) + "\"}";
    EXPECT_FALSE(ParseReport("t", body, ReportNames())) << address;
  }
}

// Guards against reports of another writer that lack members: the defaults for
// them made its address a target.
TEST(OddEntries, WithoutAMemberOrWithOneOfAnotherType) {
  const std::vector<std::pair<std::string, std::string>> members = {
      {"group", R"("g")"},   {"address", R"("10.0.0.1:80")"},
      {"zone", R"("z")"},    {"state", R"("serving")"},
      {"version", R"("1")"}, {"slots", "2"},
      {"cold_ms", "0"},      {"sequence", "1"},
      {"incarnation", "1"}};
  // Leaves `without` out if `value` is empty, and sets it to `value` otherwise.
  const auto is_valid = [&](const std::string& without,
                            const std::string& value) {
    std::string body;
    for (const auto& [name, usual] : members) {
      const std::string& text = name == without ? value : usual;
      if (!text.empty()) {
        body += (body.empty() ? "{\"" : ",\"") + name + "\":" + text;
      }
    }
    return ParseReport("t", body + "}", ReportNames()).has_value();
  };
  EXPECT_TRUE(is_valid("none", ""));
  for (const auto& [name, usual] : members) {
    EXPECT_FALSE(is_valid(name, "")) << name;
    for (const char* value : {"null", "true", "[]", "{}"}) {
      EXPECT_FALSE(is_valid(name, value)) << name << value;
    }
    const bool is_text = usual.starts_with('"');
    EXPECT_FALSE(is_valid(name, is_text ? "1" : R"("1")")) << name;
  }
  EXPECT_FALSE(is_valid("incarnation", "1.5"));
}

TEST(ZoneOrders, AreReadFromTheirPath) {
  const auto decode = [](const std::string& path) {
    return DecodeControlCall(PostOf(path, ""), ControlNames());
  };
  const auto start = decode("/v1/zones/zone%201/evacuate");
  ASSERT_TRUE(start);
  EXPECT_EQ(std::get<ZoneOrder>(*start).zone, "zone 1");
  EXPECT_TRUE(std::get<ZoneOrder>(*start).evacuate);
  const auto end = decode("/v1/zones/zone-1/readmit");
  ASSERT_TRUE(end);
  EXPECT_FALSE(std::get<ZoneOrder>(*end).evacuate);
  const std::string too_long(300, 'z');
  for (const std::string zone :
       {"", "a/b", "%0a", "%zz", "a%4", "%ff", too_long.c_str()}) {
    const auto call = decode("/v1/zones/" + zone + "/evacuate");
    ASSERT_FALSE(call) << zone;
    EXPECT_EQ(call.error().kind, ErrorKind::kBadRequest) << zone;
  }
  EXPECT_EQ(decode("/v1/zones/a/leave").error().kind, ErrorKind::kUnknownPath);
}

}  // namespace
}  // namespace snipeworks
