#include "snipeworks/target_protocol.h"

#include <optional>

#include "snipeworks/json_reader.h"
#include "snipeworks/text.h"

namespace snipeworks {

using nlohmann::json;
using std::chrono::microseconds;

namespace {

constexpr std::size_t kMaxHits = 1000;
constexpr std::size_t kMaxQueryBytes = std::size_t{16} * 1024;
constexpr std::uint64_t kMaxMicroseconds = 3600ULL * 1000 * 1000;

// The statuses that a target can report itself.
constexpr AttemptStatus kReportedStatuses[] = {
    AttemptStatus::kAnswered, AttemptStatus::kShed,
    AttemptStatus::kDraining, AttemptStatus::kWrongSnapshot,
    AttemptStatus::kFailed,   AttemptStatus::kCancelled,
};

std::optional<AttemptStatus> ParseAttemptStatus(const std::string& name) {
  for (AttemptStatus status : kReportedStatuses) {
    if (name == ToString(status)) {
      return status;
    }
  }
  return std::nullopt;
}

SnapshotId ReadSnapshotId(JsonReader& reader) {
  return {reader.Unsigned("snapshot"), reader.String("digest")};
}

void ReadAnswered(JsonReader& reader, AttemptOutcome& outcome) {
  outcome.snapshot = ReadSnapshotId(reader);
  outcome.part =
      static_cast<PartNumber>(reader.Unsigned("part", 0, UINT32_MAX));
  outcome.documents = reader.Unsigned("documents");
  outcome.queue_time =
      microseconds(reader.UnsignedOr("queue_us", 0, 0, kMaxMicroseconds));
  for (const json& item : reader.Array("hits", kMaxHits)) {
    JsonReader hit(item, "hits");
    Hit one;
    one.document = hit.String("document");
    if (hit.Has("score") && item["score"].is_number()) {
      one.score = item["score"].get<double>();
    } else {
      hit.AddError("score", "must be a number");
    }
    outcome.hits.push_back(std::move(one));
    reader.AddErrorFrom(hit);
  }
}

}  // namespace

std::string ToJson(const RunRequest& request) {
  json document = {{"attempt", request.attempt},
                   {"group", request.group},
                   {"snapshot", request.snapshot.number},
                   {"digest", request.snapshot.digest},
                   {"part", request.part},
                   {"query", request.query},
                   {"budget_us", request.budget.count()}};
  if (!request.idempotency_key.empty()) {
    document["idempotency_key"] = request.idempotency_key;
  }
  return WriteJson(document);
}

Result<RunRequest> ParseRunRequest(std::string_view text) {
  Result<json> document = ParseJson(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  RunRequest request;
  request.attempt = reader.String("attempt");
  request.group = reader.String("group");
  request.snapshot = ReadSnapshotId(reader);
  request.part =
      static_cast<PartNumber>(reader.Unsigned("part", 0, UINT32_MAX));
  request.query = reader.String("query", kMaxQueryBytes);
  request.budget =
      microseconds(reader.Unsigned("budget_us", 0, kMaxMicroseconds));
  request.idempotency_key = reader.StringOr("idempotency_key", "");
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  return request;
}

std::string ToJson(const RunAnswer& answer) {
  const AttemptOutcome& outcome = answer.outcome;
  json document = {{"attempt", answer.attempt},
                   {"status", ToString(outcome.status)}};
  if (outcome.status == AttemptStatus::kShed) {
    document["retry_after_us"] = outcome.retry_after.count();
  }
  if (outcome.status == AttemptStatus::kAnswered) {
    document["snapshot"] = outcome.snapshot.number;
    document["digest"] = outcome.snapshot.digest;
    document["part"] = outcome.part;
    document["documents"] = outcome.documents;
    document["queue_us"] = outcome.queue_time.count();
    json hits = json::array();
    for (const Hit& hit : outcome.hits) {
      hits.push_back({{"document", hit.document}, {"score", hit.score}});
    }
    document["hits"] = std::move(hits);
  }
  return WriteJson(document);
}

Result<RunAnswer> ParseRunAnswer(std::string_view text) {
  Result<json> document = ParseJson(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  RunAnswer answer;
  answer.attempt = reader.String("attempt");
  const auto status = ParseAttemptStatus(reader.String("status"));
  if (!status) {
    reader.AddError("status", "unknown");
  } else {
    answer.outcome.status = *status;
  }
  if (answer.outcome.status == AttemptStatus::kAnswered) {
    ReadAnswered(reader, answer.outcome);
  }
  answer.outcome.retry_after =
      microseconds(reader.UnsignedOr("retry_after_us", 0, 0, kMaxMicroseconds));
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  return answer;
}

int HttpStatusOf(AttemptStatus status) {
  switch (status) {
    case AttemptStatus::kAnswered:
      return 200;
    case AttemptStatus::kShed:
      return 429;
    case AttemptStatus::kDraining:
    case AttemptStatus::kWrongSnapshot:
    case AttemptStatus::kCancelled:
      return 409;
    default:
      return 500;
  }
}

std::optional<AttemptStatus> UnansweredStatus(HttpCallStatus status,
                                              AttemptStatus on_timeout) {
  switch (status) {
    case HttpCallStatus::kNotSent:
      return AttemptStatus::kNotSent;
    case HttpCallStatus::kLost:
      return AttemptStatus::kLost;
    case HttpCallStatus::kTimeout:
      return on_timeout;
    case HttpCallStatus::kTooLarge:
    case HttpCallStatus::kMalformed:  // The target is there.
      return AttemptStatus::kFailed;
    case HttpCallStatus::kAborted:
      return AttemptStatus::kCancelled;
    case HttpCallStatus::kAnswered:
      break;
  }
  return std::nullopt;
}

AttemptOutcome OutcomeOf(const HttpCallResult& result,
                         const std::string& attempt) {
  AttemptOutcome outcome;
  if (const auto status =
          UnansweredStatus(result.status, AttemptStatus::kCancelled)) {
    outcome.status = *status;
    return outcome;
  }
  Result<RunAnswer> answer = ParseRunAnswer(result.body);
  if (!answer || answer->attempt != attempt) {
    outcome.status = AttemptStatus::kFailed;
    return outcome;
  }
  return answer->outcome;
}

ProbeAnswer ParseProbeAnswer(const HttpCallResult& result) {
  ProbeAnswer answer;
  if (result.status != HttpCallStatus::kAnswered) {
    return answer;
  }
  Result<json> document = ParseJson(result.body);
  if (!document) {
    return answer;
  }
  JsonReader reader(*document);
  const std::string state = reader.String("state");
  answer.incarnation = reader.Unsigned("incarnation");
  if (!reader.ok()) {
    return answer;
  }
  if (state == "running") {
    answer.state = ProbeState::kRunning;
  } else if (state == "finished") {
    answer.state = ProbeState::kFinished;
  } else if (state == "unknown") {
    answer.state = ProbeState::kUnknown;
  }
  return answer;
}

}  // namespace snipeworks
