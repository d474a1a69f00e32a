#ifndef SNIPEWORKS_TRACE_H_
#define SNIPEWORKS_TRACE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/random.h"

namespace snipeworks {

/// A W3C trace context: a trace and one of its spans, which is the parent of
/// the spans of a request that carries the context.
struct TraceContext {
  std::string trace_id;  ///< 32 hex digits.
  std::string span_id;   ///< 16 hex digits.
  bool sampled = false;

  /// Parses a traceparent header; nullopt if it is malformed.
  static std::optional<TraceContext> Parse(std::string_view traceparent);
  /// The first span of a new trace.
  static TraceContext New(Random& random, bool sampled);
  /// A new span of the same trace, with the same sampling decision.
  TraceContext Child(Random& random) const;
  /// The value of the traceparent header.
  std::string ToHeader() const;

  friend auto operator<=>(const TraceContext&, const TraceContext&) = default;
};

struct SpanAttribute {
  std::string name;
  std::string value;
};

/// A finished span.
struct Span {
  std::string name;
  TraceContext context;
  std::string parent_span_id;  ///< Empty for the root span.
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  std::vector<SpanAttribute> attributes;
};

/// Appends sampled spans to a file, one OTLP JSON document per line.
/// Thread-safe.
class SpanWriter {
 public:
  /// Writes nothing if `path` is empty.
  SpanWriter(const std::string& path, std::string service);

  bool enabled() const { return file_.is_open(); }
  void Write(const Span& span);

 private:
  std::string service_;
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TRACE_H_
