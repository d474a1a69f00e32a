#include "snipeworks/durable_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace snipeworks {

namespace {

tl::unexpected<Error> SystemError(const std::string& path) {
  return Fail(ErrorKind::kInternal, path + ": " + std::strerror(errno));
}

bool WriteAll(int descriptor, std::string_view content) {
  while (!content.empty()) {
    const ssize_t count = write(descriptor, content.data(), content.size());
    if (count < 0) {
      return false;
    }
    content.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool SyncParentFolder(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  const std::string folder =
      slash == std::string::npos ? "." : path.substr(0, slash);
  const int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (descriptor < 0) {
    return false;
  }
  const bool synced = fsync(descriptor) == 0;
  close(descriptor);
  return synced;
}

}  // namespace

Result<void> ReplaceFile(const std::string& path, std::string_view content) {
  const std::string temporary_path = path + ".new";
  constexpr mode_t kFileMode = 0644;
  const int descriptor =
      open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kFileMode);
  if (descriptor < 0) {
    return SystemError(temporary_path);
  }
  const bool written = WriteAll(descriptor, content) && fsync(descriptor) == 0;
  const int close_status = close(descriptor);
  if (!written || close_status != 0) {
    return SystemError(temporary_path);
  }
  if (std::rename(temporary_path.c_str(), path.c_str()) != 0 ||
      !SyncParentFolder(path)) {
    return SystemError(path);
  }
  return {};
}

}  // namespace snipeworks
