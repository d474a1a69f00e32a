#include "snipeworks/rocks_log_store.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>

#include <glog/logging.h>
#include <rocksdb/db.h>
#include <rocksdb/env.h>
#include <rocksdb/file_system.h>
#include <rocksdb/write_batch.h>

namespace snipeworks {

namespace {

constexpr char kClusterKey[] = "m/cluster";
constexpr char kDiskKey[] = "m/disk";
constexpr char kVoteKey[] = "m/vote";
constexpr char kSnapshotKey[] = "m/snapshot";
constexpr char kWriteKey[] = "m/write";
constexpr char kEntryPrefix[] = "e/";
// Precedes the number of a write in its batch, so that writes can be found in
// files that RocksDB cannot read.
constexpr std::string_view kWriteMark = "\x91snipeworks-write\xe4";
// Sorts after every entry key.
constexpr char kEntryKeysEnd[] = "e0";
// Kept small: a control host must stay far below 128 MB of memory.
constexpr std::size_t kWriteBufferBytes = std::size_t{4} * 1024 * 1024;

// The keys sort in the order of the indexes.
std::string EntryKey(LogIndex index) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%s%020llu", kEntryPrefix,
                static_cast<unsigned long long>(index));
  return text.data();
}

std::string NewDiskId() {
  std::random_device device;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
  return text.data();
}

// Returns the number of a write that `text` begins with; 0 if there is none.
std::uint64_t ParseWriteNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() ? number : 0;
}

// Returns the highest number of a write in the write-ahead files of `folder`,
// readable by RocksDB or not; 0 if there is none.
std::uint64_t HighestMarkedWrite(const std::string& folder) {
  std::uint64_t highest = 0;
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
    if (file.path().extension() != ".log") {
      continue;
    }
    std::ifstream stream(file.path(), std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(stream),
                            std::istreambuf_iterator<char>()};
    for (std::size_t at = bytes.find(kWriteMark); at != std::string::npos;
         at = bytes.find(kWriteMark, at + 1)) {
      const std::string text = bytes.substr(at + kWriteMark.size(), 20);
      if (text.size() == 20 && std::ranges::all_of(text, [](char digit) {
            return digit >= '0' && digit <= '9';
          })) {
        highest = std::max(highest, ParseWriteNumber(text));
      }
    }
  }
  return highest;
}

// At a loss of power a write that was not synced may be left in parts. It was
// never acknowledged, so it can be dropped. Each write is synced before the
// next, so damage that a later write follows is damage to synced data. The
// numbers are those of the last readable write and of the last one found; both
// are 0 in a store without marks, which cannot be judged.
bool IsTornWrite(std::uint64_t last_readable, std::uint64_t last_found) {
  return last_readable + last_found > 0 && last_found <= last_readable + 1;
}

// Replaces the log file that RocksDB otherwise writes next to the database.
// RocksDB asserts that a file is not written after a write to it has failed,
// and its own log file is no exception: a full disk would abort the process.
class GlogLogger : public rocksdb::Logger {
 public:
  GlogLogger() : Logger(rocksdb::InfoLogLevel::WARN_LEVEL) {}

  using Logger::Logv;
  void Logv(const char* format, va_list arguments) override {
    std::array<char, 512> text{};
    std::vsnprintf(text.data(), text.size(), format, arguments);
    LOG(WARNING) << "event=store_warning text=\"" << text.data() << "\"";
  }
};

rocksdb::Options DatabaseOptions() {
  rocksdb::Options options;
  options.info_log = std::make_shared<GlogLogger>();
  options.create_if_missing = true;
  options.paranoid_checks = true;
  // A truncated last record was never acknowledged; corruption before the end
  // is an error.
  options.wal_recovery_mode =
      rocksdb::WALRecoveryMode::kTolerateCorruptedTailRecords;
  options.write_buffer_size = kWriteBufferBytes;
  options.max_background_jobs = 2;
  options.allow_mmap_reads = false;
  options.allow_mmap_writes = false;
  options.compression = rocksdb::kNoCompression;
  return options;
}

tl::unexpected<Error> StoreError(const std::string& folder,
                                 const std::string& reason) {
  return Fail(ErrorKind::kInternal, folder + ": " + reason);
}

}  // namespace

class RocksLogStore::Impl {
 public:
  Result<void> Open(const std::string& folder,
                    const std::string& blank_disk_id,
                    const std::shared_ptr<rocksdb::FileSystem>& file_system) {
    blank_disk_id_ = blank_disk_id;
    environment_ = rocksdb::NewCompositeEnv(file_system);
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    rocksdb::DB* database = nullptr;
    rocksdb::Options options = DatabaseOptions();
    options.env = environment_.get();
    const std::string path = folder + "/log";
    rocksdb::Status opened = rocksdb::DB::Open(options, path, &database);
    if (opened.IsCorruption() && OnlyLastWriteIsTorn(path)) {
      LOG(WARNING) << "event=torn_write_dropped folder=" << folder
                   << " reason=\"" << opened.ToString() << "\"";
      options.wal_recovery_mode =
          rocksdb::WALRecoveryMode::kPointInTimeRecovery;
      opened = rocksdb::DB::Open(options, path, &database);
    }
    if (!opened.ok()) {
      return StoreError(folder, opened.ToString());
    }
    database_.reset(database);
    write_number_ = NumberOfLastWrite(*database_);
    return ReadAll(folder);
  }

  bool Put(const char* key, const std::string& value) {
    rocksdb::WriteBatch batch = NewBatch();
    batch.Put(key, value);
    return Write(batch);
  }

  bool Write(rocksdb::WriteBatch& batch) {
    MarkWrite(batch);
    rocksdb::WriteOptions options;
    options.sync = true;
    const rocksdb::Status status = database_->Write(options, &batch);
    if (!status.ok()) {
      LOG(ERROR) << "event=store_write_failed reason=\"" << status.ToString()
                 << "\"";
    }
    return status.ok();
  }

  bool Append(const std::vector<LogEntry>& entries) {
    rocksdb::WriteBatch batch = NewBatch();
    const LogIndex end = entries.back().index + 1;
    if (end <= last_index_) {
      batch.DeleteRange(EntryKey(end), kEntryKeysEnd);
    }
    for (const LogEntry& entry : entries) {
      batch.Put(EntryKey(entry.index), Encode(entry));
    }
    last_index_ = entries.back().index;
    return Write(batch);
  }

  bool SaveSnapshot(const LogSnapshot& snapshot,
                    LogIndex keep_from,
                    bool reset) {
    rocksdb::WriteBatch batch = NewBatch();
    batch.Put(kSnapshotKey, Encode(snapshot));
    batch.DeleteRange(kEntryPrefix,
                      reset ? kEntryKeysEnd : EntryKey(keep_from));
    if (reset) {
      last_index_ = snapshot.index;
    }
    return Write(batch);
  }

  const StoredLog& stored() const { return stored_; }

 private:
  // A batch has a mark at each end, since a mark may be split between blocks of
  // the file.
  rocksdb::WriteBatch NewBatch() {
    ++write_number_;
    rocksdb::WriteBatch batch;
    MarkWrite(batch);
    return batch;
  }

  void MarkWrite(rocksdb::WriteBatch& batch) const {
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%020llu",
                  static_cast<unsigned long long>(write_number_));
    batch.Put(kWriteKey, std::string(kWriteMark) + digits.data());
  }

  // Reads the folder up to the damage, without changing it.
  bool OnlyLastWriteIsTorn(const std::string& path) const {
    rocksdb::Options options = DatabaseOptions();
    options.env = environment_.get();
    options.wal_recovery_mode = rocksdb::WALRecoveryMode::kPointInTimeRecovery;
    rocksdb::DB* opened = nullptr;
    if (!rocksdb::DB::OpenForReadOnly(options, path, &opened).ok()) {
      return false;
    }
    const std::unique_ptr<rocksdb::DB> database(opened);
    return IsTornWrite(NumberOfLastWrite(*database), HighestMarkedWrite(path));
  }

  // 0 if no write is marked.
  static std::uint64_t NumberOfLastWrite(rocksdb::DB& database) {
    std::string value;
    const bool found =
        database.Get(rocksdb::ReadOptions(), kWriteKey, &value).ok() &&
        value.size() > kWriteMark.size();
    return found ? ParseWriteNumber(
                       std::string_view(value).substr(kWriteMark.size()))
                 : 0;
  }

  // Reports an unreadable value as an error, not as a missing one.
  Result<bool> Get(const std::string& folder,
                   const char* key,
                   std::string& value) {
    const rocksdb::Status status =
        database_->Get(rocksdb::ReadOptions(), key, &value);
    if (status.ok()) {
      return true;
    }
    if (status.IsNotFound()) {
      return false;
    }
    return StoreError(folder, status.ToString());
  }

  template <typename T>
  Result<void> ReadMessage(const std::string& folder,
                           const char* key,
                           T& result) {
    std::string bytes;
    auto found = Get(folder, key, bytes);
    if (!found) {
      return tl::unexpected(found.error());
    }
    if (!*found) {
      return {};
    }
    auto message = Decode<T>(bytes);
    if (!message) {
      return StoreError(folder, std::string(key) + " cannot be decoded");
    }
    result = std::move(*message);
    return {};
  }

  Result<void> ReadAll(const std::string& folder) {
    auto has_cluster = Get(folder, kClusterKey, stored_.cluster);
    if (!has_cluster) {
      return tl::unexpected(has_cluster.error());
    }
    auto has_disk = Get(folder, kDiskKey, stored_.disk);
    if (!has_disk) {
      return tl::unexpected(has_disk.error());
    }
    if (!*has_disk) {
      stored_.disk = blank_disk_id_.empty() ? NewDiskId() : blank_disk_id_;
      if (!Put(kDiskKey, stored_.disk)) {
        return StoreError(folder, "the disk id cannot be written");
      }
    }
    return ReadMessage(folder, kVoteKey, stored_.vote)
        .and_then(
            [&] { return ReadMessage(folder, kSnapshotKey, stored_.snapshot); })
        .and_then([&] { return ReadEntries(folder); });
  }

  Result<void> ReadEntries(const std::string& folder) {
    const std::unique_ptr<rocksdb::Iterator> cursor(
        database_->NewIterator(rocksdb::ReadOptions()));
    last_index_ = stored_.snapshot.index;
    for (cursor->Seek(kEntryPrefix);
         cursor->Valid() && cursor->key().starts_with(kEntryPrefix);
         cursor->Next()) {
      auto entry =
          Decode<LogEntry>({cursor->value().data(), cursor->value().size()});
      const LogIndex expected = stored_.entries.empty()
                                    ? (entry ? entry->index : 0)
                                    : stored_.entries.back().index + 1;
      if (!entry || entry->index != expected) {
        return StoreError(folder, "the log is corrupt near entry " +
                                      std::to_string(expected));
      }
      stored_.entries.push_back(std::move(*entry));
    }
    if (!cursor->status().ok()) {
      return StoreError(folder, cursor->status().ToString());
    }
    if (!stored_.entries.empty()) {
      if (stored_.entries.front().index > stored_.snapshot.index + 1) {
        return StoreError(folder, "log entries after the snapshot are missing");
      }
      last_index_ = std::max(last_index_, stored_.entries.back().index);
    }
    return {};
  }

  std::unique_ptr<rocksdb::Env> environment_;  // Must outlive database_.
  std::unique_ptr<rocksdb::DB> database_;
  std::string blank_disk_id_;
  StoredLog stored_;
  LogIndex last_index_ = 0;
  std::uint64_t write_number_ = 0;
};

RocksLogStore::RocksLogStore(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

RocksLogStore::~RocksLogStore() = default;

Result<std::unique_ptr<RocksLogStore>> RocksLogStore::Open(
    const std::string& folder,
    const std::string& blank_disk_id,
    std::shared_ptr<rocksdb::FileSystem> file_system) {
  if (file_system == nullptr) {
    file_system = rocksdb::FileSystem::Default();
  }
  auto impl = std::make_unique<Impl>();
  if (Result<void> opened = impl->Open(folder, blank_disk_id, file_system);
      !opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<RocksLogStore>(new RocksLogStore(std::move(impl)));
}

const StoredLog& RocksLogStore::stored() const {
  return impl_->stored();
}

bool RocksLogStore::SaveCluster(const std::string& cluster) {
  return impl_->Put(kClusterKey, cluster);
}

bool RocksLogStore::SaveVote(const VoteRecord& vote) {
  return impl_->Put(kVoteKey, Encode(vote));
}

bool RocksLogStore::Append(const std::vector<LogEntry>& entries) {
  return impl_->Append(entries);
}

bool RocksLogStore::SaveSnapshot(const LogSnapshot& snapshot,
                                 LogIndex keep_from,
                                 bool reset) {
  return impl_->SaveSnapshot(snapshot, keep_from, reset);
}

}  // namespace snipeworks
