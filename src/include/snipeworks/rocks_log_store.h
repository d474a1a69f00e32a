#ifndef SNIPEWORKS_ROCKS_LOG_STORE_H_
#define SNIPEWORKS_ROCKS_LOG_STORE_H_

#include <memory>
#include <string>

#include "snipeworks/consensus_types.h"
#include "snipeworks/error.h"

namespace rocksdb {
class FileSystem;
}

namespace snipeworks {

/// Stores the Raft log in a RocksDB database.
class RocksLogStore : public LogStore {
 public:
  /// Opens or creates the database in `folder` and reads all of it. A blank
  /// folder gets the disk id `blank_disk_id`, or a random one if that is empty.
  /// A truncated last record is dropped. Any other corruption fails with
  /// kInternal, and the host must not count as a voter with the remaining data.
  /// `file_system` replaces the default file system.
  ///
  /// After a failed write every later write fails too, without access to the
  /// disk, until the folder is opened again.
  static Result<std::unique_ptr<RocksLogStore>> Open(
      const std::string& folder,
      const std::string& blank_disk_id = "",
      std::shared_ptr<rocksdb::FileSystem> file_system = nullptr);

  ~RocksLogStore() override;

  /// The content that Open() read.
  const StoredLog& stored() const;

  bool SaveCluster(const std::string& cluster) override;
  bool SaveVote(const VoteRecord& vote) override;
  bool Append(const std::vector<LogEntry>& entries) override;
  bool SaveSnapshot(const LogSnapshot& snapshot,
                    LogIndex keep_from,
                    bool reset) override;

 private:
  class Impl;
  explicit RocksLogStore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ROCKS_LOG_STORE_H_
