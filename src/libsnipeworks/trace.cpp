#include "snipeworks/trace.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include <nlohmann/json.hpp>

#include "snipeworks/text.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
// A traceparent header is "00-", trace id, "-", span id, "-" and two digits of
// flags.
constexpr std::size_t kHeaderLength = 55;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kFlagsOffset = 53;

std::string ToHex(std::uint64_t value) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kSpanIdDigits, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[value & 0xF];
    value >>= 4;
  }
  return text;
}

bool IsHex(std::string_view text) {
  return std::ranges::all_of(
      text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

std::string UnixNanoseconds(std::chrono::system_clock::time_point time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

json StringAttribute(const std::string& name, const std::string& value) {
  return {{"key", name}, {"value", {{"stringValue", value}}}};
}

}  // namespace

std::optional<TraceContext> TraceContext::Parse(std::string_view text) {
  const bool well_formed =
      text.size() == kHeaderLength && text.substr(0, 3) == "00-" &&
      text[kSpanIdOffset - 1] == '-' && text[kFlagsOffset - 1] == '-';
  if (!well_formed) {
    return std::nullopt;
  }
  TraceContext context;
  context.trace_id = std::string(text.substr(3, kTraceIdDigits));
  context.span_id = std::string(text.substr(kSpanIdOffset, kSpanIdDigits));
  const std::string_view flags = text.substr(kFlagsOffset);
  if (!IsHex(context.trace_id) || !IsHex(context.span_id) || !IsHex(flags)) {
    return std::nullopt;
  }
  context.sampled = flags[1] % 2 == 1;
  return context;
}

TraceContext TraceContext::New(Random& random, bool sampled) {
  return {ToHex(random.Next()) + ToHex(random.Next()), ToHex(random.Next()),
          sampled};
}

TraceContext TraceContext::Child(Random& random) const {
  return {trace_id, ToHex(random.Next()), sampled};
}

std::string TraceContext::ToHeader() const {
  return "00-" + trace_id + "-" + span_id + (sampled ? "-01" : "-00");
}

SpanWriter::SpanWriter(const std::string& path, std::string service)
    : service_(std::move(service)) {
  if (!path.empty()) {
    file_.open(path, std::ios::app);
  }
}

void SpanWriter::Write(const Span& span) {
  if (!enabled() || !span.context.sampled) {
    return;
  }
  json attributes = json::array();
  for (const SpanAttribute& attribute : span.attributes) {
    attributes.push_back(StringAttribute(attribute.name, attribute.value));
  }
  json body = {{"traceId", span.context.trace_id},
               {"spanId", span.context.span_id},
               {"name", span.name},
               {"startTimeUnixNano", UnixNanoseconds(span.start)},
               {"endTimeUnixNano", UnixNanoseconds(span.end)},
               {"attributes", std::move(attributes)}};
  if (!span.parent_span_id.empty()) {
    body["parentSpanId"] = span.parent_span_id;
  }
  const json resource = {
      {"attributes", {StringAttribute("service.name", service_)}}};
  const json document = {
      {"resourceSpans",
       {{{"resource", resource},
         {"scopeSpans", {{{"spans", {std::move(body)}}}}}}}}};
  const std::lock_guard lock(mutex_);
  file_ << WriteJson(document) << std::endl;
}

}  // namespace snipeworks
