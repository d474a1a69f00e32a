#include "snipeworks/rocks_log_store.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

#include <gtest/gtest.h>
#include <rocksdb/file_system.h>

namespace snipeworks {
namespace {

namespace fs = std::filesystem;

using rocksdb::IODebugContext;
using rocksdb::IOOptions;
using rocksdb::IOStatus;

// What a FaultyDisk refuses: a full one every write, a broken one every sync.
enum class Refusal { kWrites, kAppends, kSyncs };

// Counts the calls that write or sync, and refuses them from a chosen one on.
struct DiskPlan {
  Refusal refusal = Refusal::kWrites;
  std::atomic<int> calls = 0;
  std::atomic<int> refuse_from = 1 << 30;

  IOStatus Next(Refusal kind) {
    if (kind != refusal || ++calls <= refuse_from) {
      return IOStatus::OK();
    }
    return refusal == Refusal::kSyncs ? IOStatus::IOError("sync failed")
                                      : IOStatus::NoSpace("disk full");
  }
};

class FaultyFile : public rocksdb::FSWritableFileOwnerWrapper {
 public:
  FaultyFile(std::unique_ptr<rocksdb::FSWritableFile> file, DiskPlan& plan)
      : FSWritableFileOwnerWrapper(std::move(file)), plan_(plan) {}

  IOStatus Append(const rocksdb::Slice& data,
                  const IOOptions& options,
                  IODebugContext* debug) override {
    IOStatus refused = plan_.Next(Refusal::kWrites);
    if (refused.ok()) {
      refused = plan_.Next(Refusal::kAppends);
    }
    return refused.ok() ? target()->Append(data, options, debug) : refused;
  }
  IOStatus Append(const rocksdb::Slice& data,
                  const IOOptions& options,
                  const rocksdb::DataVerificationInfo&,
                  IODebugContext* debug) override {
    return Append(data, options, debug);
  }
  IOStatus Sync(const IOOptions& options, IODebugContext* debug) override {
    const IOStatus refused = plan_.Next(Refusal::kSyncs);
    return refused.ok() ? target()->Sync(options, debug) : refused;
  }
  IOStatus Fsync(const IOOptions& options, IODebugContext* debug) override {
    return Sync(options, debug);
  }

 private:
  DiskPlan& plan_;
};

class FaultyDisk : public rocksdb::FileSystemWrapper {
 public:
  explicit FaultyDisk(DiskPlan& plan)
      : FileSystemWrapper(rocksdb::FileSystem::Default()), plan_(plan) {}

  const char* Name() const override { return "FaultyDisk"; }

  IOStatus NewWritableFile(const std::string& path,
                           const rocksdb::FileOptions& options,
                           std::unique_ptr<rocksdb::FSWritableFile>* result,
                           IODebugContext* debug) override {
    IOStatus status = plan_.Next(Refusal::kWrites);
    if (status.ok()) {
      status = target()->NewWritableFile(path, options, result, debug);
    }
    if (status.ok()) {
      *result = std::make_unique<FaultyFile>(std::move(*result), plan_);
    }
    return status;
  }
  // RocksDB's own log is on the same disk.
  IOStatus NewLogger(const std::string& path,
                     const IOOptions& options,
                     std::shared_ptr<rocksdb::Logger>* result,
                     IODebugContext* debug) override {
    return FileSystem::NewLogger(path, options, result, debug);
  }
  IOStatus RenameFile(const std::string& from,
                      const std::string& to,
                      const IOOptions& options,
                      IODebugContext* debug) override {
    const IOStatus refused = plan_.Next(Refusal::kWrites);
    return refused.ok() ? target()->RenameFile(from, to, options, debug)
                        : refused;
  }

 private:
  DiskPlan& plan_;
};

class RocksStore : public testing::Test {
 protected:
  RocksStore() {
    std::string name = (fs::temp_directory_path() / "rocks-XXXXXX").string();
    folder = mkdtemp(name.data());
  }
  ~RocksStore() override { fs::remove_all(folder); }

  static LogEntry Entry(LogIndex index) {
    LogEntry entry;
    entry.index = index;
    entry.term = 3;
    entry.kind = EntryKind::kCommand;
    entry.command = "command " + std::to_string(index) + std::string(200, 'x');
    return entry;
  }

  void Fill(LogIndex entries) {
    auto store = RocksLogStore::Open(folder);
    ASSERT_TRUE(store) << store.error().detail;
    (*store)->SaveVote({3, "c1"});
    for (LogIndex i = 1; i <= entries; ++i) {
      ASSERT_TRUE((*store)->Append({Entry(i)}));
    }
  }

  // The newest write-ahead file that is not empty.
  fs::path WriteAheadFile() const {
    fs::path newest;
    for (const auto& file : fs::directory_iterator(folder + "/log")) {
      if (file.path().extension() == ".log" && file.file_size() > 0) {
        newest = std::max(newest, file.path());
      }
    }
    return newest;
  }

  std::string folder;
};

TEST_F(RocksStore, KeepsWhatWasWritten) {
  Fill(20);
  auto store = RocksLogStore::Open(folder);
  ASSERT_TRUE(store);
  const StoredLog& stored = (*store)->stored();
  EXPECT_EQ(stored.vote, (VoteRecord{3, "c1"}));
  ASSERT_EQ(stored.entries.size(), 20U);
  EXPECT_EQ(stored.entries[19], Entry(20));
}

TEST_F(RocksStore, ABlankFolderIsAnotherDisk) {
  Fill(1);
  const std::string before = (*RocksLogStore::Open(folder))->stored().disk;
  EXPECT_EQ((*RocksLogStore::Open(folder))->stored().disk, before);
  fs::remove_all(folder);
  EXPECT_NE((*RocksLogStore::Open(folder))->stored().disk, before);
}

TEST_F(RocksStore, AShorterLogReplacesALongerOne) {
  Fill(20);
  {
    auto store = RocksLogStore::Open(folder);
    ASSERT_TRUE((*store)->Append({Entry(5)}));
  }
  auto store = RocksLogStore::Open(folder);
  EXPECT_EQ((*store)->stored().entries.size(), 5U);
}

TEST_F(RocksStore, ASnapshotDropsWhatItCovers) {
  Fill(20);
  {
    auto store = RocksLogStore::Open(folder);
    ASSERT_TRUE((*store)->SaveSnapshot({15, 3, {}, "state"}, 11, false));
  }
  auto store = RocksLogStore::Open(folder);
  ASSERT_EQ((*store)->stored().entries.size(), 10U);
  EXPECT_EQ((*store)->stored().entries[0].index, 11U);
  EXPECT_EQ((*store)->stored().snapshot.state, "state");
}

TEST_F(RocksStore, ATornLastRecordIsCutOff) {
  Fill(20);
  const fs::path file = WriteAheadFile();
  fs::resize_file(file, fs::file_size(file) - 50);
  auto store = RocksLogStore::Open(folder);
  ASSERT_TRUE(store) << store.error().detail;
  EXPECT_EQ((*store)->stored().entries.size(), 19U);
}

TEST_F(RocksStore, DamageInTheMiddleIsRefused) {
  Fill(200);
  const fs::path file = WriteAheadFile();
  {
    std::fstream damage(file, std::ios::in | std::ios::out | std::ios::binary);
    damage.seekp(static_cast<std::streamoff>(fs::file_size(file) / 2));
    damage << "damage";
  }
  auto store = RocksLogStore::Open(folder);
  EXPECT_FALSE(store) << (*store)->stored().entries.size()
                      << " entries were read";
}

TEST_F(RocksStore, AFolderThatCannotBeWrittenIsRefused) {
  std::ofstream(folder + "/log") << "a file where a folder must be";
  EXPECT_FALSE(RocksLogStore::Open(folder));
}

// A host on a disk that refuses from one of its calls on, for each call that
// opening and filling a store makes.
class FaultyDisks : public RocksStore {
 protected:
  // Appends until the store refuses; returns how many it acknowledged.
  static LogIndex FillUntilRefused(RocksLogStore& store, LogIndex most) {
    LogIndex written = 0;
    while (written < most && store.Append({Entry(written + 1)})) {
      ++written;
    }
    return written;
  }

  Result<std::unique_ptr<RocksLogStore>> OpenFaulty(DiskPlan& plan) const {
    return RocksLogStore::Open(folder, "disk",
                               std::make_shared<FaultyDisk>(plan));
  }
};

class FaultyDiskStory : public FaultyDisks,
                        public testing::WithParamInterface<Refusal> {};

TEST_P(FaultyDiskStory, NeitherEndsTheProcessNorLosesWhatWasAcknowledged) {
  constexpr LogIndex kEntries = 8;
  DiskPlan healthy{GetParam()};
  {
    auto store = OpenFaulty(healthy);
    ASSERT_TRUE(store);
    ASSERT_EQ(FillUntilRefused(**store, kEntries), kEntries);
  }
  const int calls = healthy.calls;
  ASSERT_GT(calls, static_cast<int>(kEntries));
  for (int from = 0; from < calls; ++from) {
    fs::remove_all(folder);
    DiskPlan plan{GetParam()};
    plan.refuse_from = from;
    LogIndex acknowledged = 0;
    {
      auto store = OpenFaulty(plan);
      if (store) {
        acknowledged = FillUntilRefused(**store, kEntries);
        // RocksDB may try to mend itself meanwhile.
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        // It keeps refusing, whatever is tried.
        EXPECT_FALSE((*store)->SaveVote({9, "c2"})) << from;
        EXPECT_FALSE((*store)->Append({Entry(acknowledged + 1)})) << from;
        EXPECT_FALSE((*store)->SaveSnapshot({1, 3, {}, "state"}, 1, false));
      }
    }
    // While the disk goes on refusing, it cannot be opened for use.
    {
      auto store = OpenFaulty(plan);
      EXPECT_TRUE(!store || !(*store)->SaveVote({9, "c2"})) << from;
    }
    // Once there is room, all that was acknowledged is there.
    plan.refuse_from = 1 << 30;
    auto store = OpenFaulty(plan);
    ASSERT_TRUE(store) << from << ": " << store.error().detail;
    EXPECT_GE((*store)->stored().entries.size(), acknowledged) << from;
    EXPECT_TRUE(
        (*store)->Append({Entry((*store)->stored().entries.size() + 1)}));
  }
}

// Whatever RocksDB writes now and then beside the store is due by then.
TEST_F(FaultyDisks, AFullDiskDoesNotEndTheProcessAfterAQuietTime) {
  DiskPlan plan;
  auto store = OpenFaulty(plan);
  ASSERT_TRUE(store);
  std::this_thread::sleep_for(std::chrono::milliseconds(5200));
  plan.refuse_from = 0;
  EXPECT_FALSE((*store)->Append({Entry(1)}));
  EXPECT_FALSE((*store)->Append({Entry(1)}));
}

std::string NameOf(const testing::TestParamInfo<Refusal>& info) {
  switch (info.param) {
    case Refusal::kWrites:
      return "ThatRefuseWrites";
    case Refusal::kAppends:
      return "ThatMakeFilesAndRefuseToFillThem";
    case Refusal::kSyncs:
      return "ThatRefuseSyncs";
  }
  return "";
}

INSTANTIATE_TEST_SUITE_P(Disks,
                         FaultyDiskStory,
                         testing::Values(Refusal::kWrites,
                                         Refusal::kAppends,
                                         Refusal::kSyncs),
                         NameOf);

}  // namespace
}  // namespace snipeworks
