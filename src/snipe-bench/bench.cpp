#include "bench.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <vector>

#include "snipeworks/control_state.h"
#include "snipeworks/entry_messages.h"
#include "snipeworks/rocks_log_store.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kPartsPerGroup = 1400;

Announcement MakeAnnouncement(std::size_t i, std::size_t parts) {
  Announcement announcement;
  announcement.target =
      "group-p" + std::to_string(i % parts) + "-r" + std::to_string(i / parts);
  announcement.incarnation = 1796351169000ULL;
  announcement.zone = "zone-" + std::to_string(i % 9);
  announcement.address = "10.0.0.1:20000";
  announcement.group = "group";
  announcement.slots = 3;
  announcement.connections = 30;
  HeldSnapshot held;
  held.manifest.id = {1, "digest-1"};
  for (PartNumber part = 0; part < parts; ++part) {
    held.manifest.parts.push_back({part, 1000});
  }
  held.parts = {static_cast<PartNumber>(i % parts)};
  announcement.snapshots = {std::move(held)};
  return announcement;
}

double WallMicroseconds() {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::size_t ResidentBytes() {
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

double CpuMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

void BenchTargets(std::size_t targets) {
  const std::size_t parts = std::min(targets / 3 + 1, kPartsPerGroup);
  const std::size_t before = ResidentBytes();
  SearchController controller({"host", 1, 1});
  const Instant now = MonotonicNow();
  for (std::size_t i = 0; i < targets; ++i) {
    Announcement announcement = MakeAnnouncement(i, parts);
    announcement.sequence = 1;
    controller.Announce(now, announcement);
  }
  const std::size_t bytes = ResidentBytes() - before;
  std::vector<Renewal> renewals;
  const double cpu = CpuMicroseconds();
  for (std::size_t i = 0; i < targets; ++i) {
    const std::string name = "group-p" + std::to_string(i % parts) + "-r" +
                             std::to_string(i / parts);
    Announcement announcement = *controller.view().Find(name);
    announcement.sequence = 2;
    controller.Announce(now, announcement);
    renewals.push_back({announcement.target, announcement.incarnation, 2, 0,
                        controller.view().DigestOf(announcement.target),
                        100000});
  }
  const double renewal_cpu = CpuMicroseconds() - cpu;
  const double digest_start = CpuMicroseconds();
  const std::uint64_t digest = controller.view().Digest();
  const double digest_cpu = CpuMicroseconds() - digest_start;
  const std::size_t renewal_batch_bytes =
      Encode(RenewalBatch{"host", digest, 1, renewals}).size();
  const std::size_t announcement_bytes =
      Encode(AnnouncementBatch{"host", {{MakeAnnouncement(0, parts), 1}}})
          .size();
  std::printf(
      "targets=%zu parts=%zu bytes_per_target=%.0f renewal_us=%.1f "
      "digest_us_per_target=%.2f renewal_bytes=%.1f announcement_bytes=%zu\n",
      targets, parts, static_cast<double>(bytes) / static_cast<double>(targets),
      renewal_cpu / static_cast<double>(targets),
      digest_cpu / static_cast<double>(targets),
      static_cast<double>(renewal_batch_bytes) / static_cast<double>(targets),
      announcement_bytes);
}

void BenchFanOut(std::size_t parts) {
  constexpr std::size_t kSearches = 20;
  SearchController controller({"host", 1, 1});
  controller.ApplySettings(
      *FleetSettings::Parse(R"({"defaults":{"canary":"off"}})"));
  Instant now = MonotonicNow();
  for (std::size_t i = 0; i < parts * 3; ++i) {
    Announcement announcement = MakeAnnouncement(i, parts);
    announcement.sequence = 1;
    controller.Announce(now, announcement);
  }
  const double cpu = CpuMicroseconds();
  for (RequestId id = 1; id <= kSearches; ++id) {
    now += milliseconds(50);
    SearchRequest request;
    request.id = id;
    request.group = "group";
    request.query = "query";
    controller.Submit(now, request);
    for (const SearchAction& action : controller.TakeActions()) {
      const auto* start = std::get_if<StartAttempt>(&action);
      if (start == nullptr) {
        continue;
      }
      AttemptOutcome outcome;
      outcome.status = AttemptStatus::kAnswered;
      outcome.snapshot = start->command.snapshot;
      outcome.part = start->command.part;
      outcome.documents = 1000;
      outcome.hits = {{"document", 0.5}, {"document", 0.4}};
      controller.OnOutcome(now + milliseconds(10), start->command.id, outcome);
    }
    now += milliseconds(30);
    controller.Tick(now);
    controller.TakeActions();
  }
  const double used = CpuMicroseconds() - cpu;
  std::printf("fan_out=%zu us_per_search=%.0f us_per_attempt=%.2f\n", parts,
              used / kSearches, used / kSearches / static_cast<double>(parts));
}

void BenchControlState(std::size_t claims) {
  const std::size_t before = ResidentBytes();
  ControlState state;
  const double cpu = CpuMicroseconds();
  for (std::size_t i = 0; i < claims; ++i) {
    ControlCommand command;
    command.kind = CommandKind::kClaim;
    command.time_s = 1796351169;
    command.created_s = 1796351169;
    command.caller = "workshop-17";
    command.key = "1796351169.0123456789abcdef" + std::to_string(i);
    command.owner = "entry-1-1796351169000-" + std::to_string(i);
    state.Apply(command);
    command.kind = CommandKind::kOutcome;
    command.outcome = ClaimState::kDone;
    command.body = std::string(200, 'x');
    state.Apply(command);
  }
  const double used = CpuMicroseconds() - cpu;
  const std::size_t bytes = ResidentBytes() - before;
  const double save_start = WallMicroseconds();
  const std::string saved = state.Save();
  const double save = WallMicroseconds() - save_start;
  std::printf(
      "claims=%zu bytes_per_claim=%.0f us_per_claim=%.2f snapshot_bytes=%zu "
      "snapshot_ms=%.1f\n",
      claims, static_cast<double>(bytes) / static_cast<double>(claims),
      used / static_cast<double>(claims), saved.size(), save / 1000.0);
}

namespace {

LogEntry MakeLogEntry(LogIndex index) {
  LogEntry entry;
  entry.index = index;
  entry.term = 1;
  entry.kind = EntryKind::kCommand;
  entry.command = std::string(300, 'x');
  return entry;
}

}  // namespace

void BenchStore(const std::string& folder, std::size_t batch) {
  std::filesystem::remove_all(folder);
  auto store = RocksLogStore::Open(folder);
  if (!store) {
    std::printf("store: %s\n", store.error().detail.c_str());
    return;
  }
  constexpr std::size_t kWrites = 300;
  LogIndex next = 1;
  const double start = WallMicroseconds();
  for (std::size_t i = 0; i < kWrites; ++i) {
    std::vector<LogEntry> entries;
    for (std::size_t j = 0; j < batch; ++j) {
      entries.push_back(MakeLogEntry(next++));
    }
    (*store)->Append(entries);
  }
  const double used = WallMicroseconds() - start;
  std::printf("batch=%zu us_per_commit=%.0f entries_per_s=%.0f\n", batch,
              used / kWrites,
              static_cast<double>(kWrites * batch) / used * 1e6);
}

void BenchRecovery(const std::string& folder, std::size_t entries) {
  std::filesystem::remove_all(folder);
  {
    auto store = RocksLogStore::Open(folder);
    std::vector<LogEntry> batch;
    for (LogIndex i = 1; i <= entries; ++i) {
      batch.push_back(MakeLogEntry(i));
      if (batch.size() == 500) {
        (*store)->Append(batch);
        batch.clear();
      }
    }
  }
  const double start = WallMicroseconds();
  auto store = RocksLogStore::Open(folder);
  std::printf("recovery_entries=%zu read=%zu ms=%.1f\n", entries,
              store ? (*store)->stored().entries.size() : 0,
              (WallMicroseconds() - start) / 1000.0);
}

}  // namespace snipeworks
