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

/// The log's durable storage, in a RocksDB database.
class RocksLogStore : public LogStore {
 public:
  /// Opens or makes the database in `folder` and reads it whole. A blank
  /// folder gets a new disk id. A record that was cut off at the very end is
  /// dropped; any other damage fails with kInternal, and the host must not
  /// count as a voter with what is left. A blank folder gets `blank_disk_id`
  /// if one is given. `disk` takes the place of the default file system.
  ///
  /// Once a write has failed, every later one fails too, and the disk is not
  /// touched again until the folder is opened anew.
  static Result<std::unique_ptr<RocksLogStore>> Open(
      const std::string& folder,
      const std::string& blank_disk_id = "",
      std::shared_ptr<rocksdb::FileSystem> disk = nullptr);

  ~RocksLogStore() override;

  /// What was read at Open.
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
