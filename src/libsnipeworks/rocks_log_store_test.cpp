#include "snipeworks/rocks_log_store.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

namespace fs = std::filesystem;

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

}  // namespace
}  // namespace snipeworks
