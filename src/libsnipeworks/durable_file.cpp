#include "snipeworks/durable_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace snipeworks {

namespace {

tl::unexpected<Error> SystemFault(const std::string& path) {
  return Fail(ErrorKind::kInternal, path + ": " + std::strerror(errno));
}

bool WriteAll(int file, std::string_view content) {
  while (!content.empty()) {
    const ssize_t count = write(file, content.data(), content.size());
    if (count < 0) {
      return false;
    }
    content.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool SyncFolderOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string folder =
      slash == std::string::npos ? "." : path.substr(0, slash);
  const int file = open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (file < 0) {
    return false;
  }
  const bool synced = fsync(file) == 0;
  close(file);
  return synced;
}

}  // namespace

Result<void> ReplaceFile(const std::string& path, std::string_view content) {
  const std::string draft = path + ".new";
  constexpr mode_t kMode = 0644;
  const int file = open(draft.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kMode);
  if (file < 0) {
    return SystemFault(draft);
  }
  const bool written = WriteAll(file, content) && fsync(file) == 0;
  const int closed = close(file);
  if (!written || closed != 0) {
    return SystemFault(draft);
  }
  if (std::rename(draft.c_str(), path.c_str()) != 0 || !SyncFolderOf(path)) {
    return SystemFault(path);
  }
  return {};
}

}  // namespace snipeworks
