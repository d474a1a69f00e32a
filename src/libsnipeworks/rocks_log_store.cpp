#include "snipeworks/rocks_log_store.h"

#include <array>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
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
constexpr char kEntryPrefix[] = "e/";
// Sorts behind every entry.
constexpr char kEntryEnd[] = "e0";
// Small, since a control host is to stay far under 128 MB.
constexpr std::size_t kWriteBufferBytes = std::size_t{4} * 1024 * 1024;

// Sorts as the index does.
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

// RocksDB keeps a log file beside the database unless told otherwise. It
// asserts that nothing is written to a file after a write to it has failed, its
// own log included, and so would end the process when the disk is full.
class StoreLogger : public rocksdb::Logger {
 public:
  StoreLogger() : Logger(rocksdb::InfoLogLevel::WARN_LEVEL) {}

  using Logger::Logv;
  void Logv(const char* format, va_list arguments) override {
    std::array<char, 512> text{};
    std::vsnprintf(text.data(), text.size(), format, arguments);
    LOG(WARNING) << "event=store_warning text=\"" << text.data() << "\"";
  }
};

rocksdb::Options DatabaseOptions() {
  rocksdb::Options options;
  options.info_log = std::make_shared<StoreLogger>();
  options.create_if_missing = true;
  options.paranoid_checks = true;
  // A record cut off at the end was never acknowledged; damage before the end
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

tl::unexpected<Error> Fault(const std::string& folder,
                            const std::string& reason) {
  return Fail(ErrorKind::kInternal, folder + ": " + reason);
}

}  // namespace

class RocksLogStore::Impl {
 public:
  Result<void> Open(const std::string& folder,
                    const std::string& blank_disk_id,
                    const std::shared_ptr<rocksdb::FileSystem>& disk) {
    blank_disk_id_ = blank_disk_id;
    environment_ = rocksdb::NewCompositeEnv(disk);
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    rocksdb::DB* raw = nullptr;
    rocksdb::Options options = DatabaseOptions();
    options.env = environment_.get();
    const rocksdb::Status opened =
        rocksdb::DB::Open(options, folder + "/log", &raw);
    if (!opened.ok()) {
      return Fault(folder, opened.ToString());
    }
    database_.reset(raw);
    return Read(folder);
  }

  bool Put(const char* key, const std::string& value) {
    rocksdb::WriteBatch batch;
    batch.Put(key, value);
    return Write(batch);
  }

  bool Write(rocksdb::WriteBatch& batch) {
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
    rocksdb::WriteBatch batch;
    const LogIndex end = entries.back().index + 1;
    if (end <= last_) {
      batch.DeleteRange(EntryKey(end), kEntryEnd);
    }
    for (const LogEntry& entry : entries) {
      batch.Put(EntryKey(entry.index), Encode(entry));
    }
    last_ = entries.back().index;
    return Write(batch);
  }

  bool SaveSnapshot(const LogSnapshot& snapshot,
                    LogIndex keep_from,
                    bool reset) {
    rocksdb::WriteBatch batch;
    batch.Put(kSnapshotKey, Encode(snapshot));
    batch.DeleteRange(kEntryPrefix, reset ? kEntryEnd : EntryKey(keep_from));
    if (reset) {
      last_ = snapshot.index;
    }
    return Write(batch);
  }

  const StoredLog& stored() const { return stored_; }

 private:
  // A value that cannot be read is damage, not absence.
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
    return Fault(folder, status.ToString());
  }

  template <typename T>
  Result<void> ReadMessage(const std::string& folder,
                           const char* key,
                           T& into) {
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
      return Fault(folder, std::string(key) + " is damaged");
    }
    into = std::move(*message);
    return {};
  }

  Result<void> Read(const std::string& folder) {
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
        return Fault(folder, "cannot be written");
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
    last_ = stored_.snapshot.index;
    for (cursor->Seek(kEntryPrefix);
         cursor->Valid() && cursor->key().starts_with(kEntryPrefix);
         cursor->Next()) {
      auto entry =
          Decode<LogEntry>({cursor->value().data(), cursor->value().size()});
      const LogIndex expected = stored_.entries.empty()
                                    ? (entry ? entry->index : 0)
                                    : stored_.entries.back().index + 1;
      if (!entry || entry->index != expected) {
        return Fault(folder, "the log is damaged near entry " +
                                 std::to_string(expected));
      }
      stored_.entries.push_back(std::move(*entry));
    }
    if (!cursor->status().ok()) {
      return Fault(folder, cursor->status().ToString());
    }
    if (!stored_.entries.empty()) {
      if (stored_.entries.front().index > stored_.snapshot.index + 1) {
        return Fault(folder, "entries are missing after the snapshot");
      }
      last_ = std::max(last_, stored_.entries.back().index);
    }
    return {};
  }

  std::unique_ptr<rocksdb::Env> environment_;  // Outlives the database.
  std::unique_ptr<rocksdb::DB> database_;
  std::string blank_disk_id_;
  StoredLog stored_;
  LogIndex last_ = 0;
};

RocksLogStore::RocksLogStore(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

RocksLogStore::~RocksLogStore() = default;

Result<std::unique_ptr<RocksLogStore>> RocksLogStore::Open(
    const std::string& folder,
    const std::string& blank_disk_id,
    std::shared_ptr<rocksdb::FileSystem> disk) {
  if (disk == nullptr) {
    disk = rocksdb::FileSystem::Default();
  }
  auto impl = std::make_unique<Impl>();
  if (Result<void> opened = impl->Open(folder, blank_disk_id, disk); !opened) {
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
