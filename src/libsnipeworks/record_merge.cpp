#include "snipeworks/record_merge.h"

#include <algorithm>
#include <functional>

namespace snipeworks {

std::string TopRecords(const std::vector<std::string_view>& parts,
                       std::size_t max_records) {
  std::vector<std::string_view> records;
  for (std::string_view part : parts) {
    while (part.size() >= kRecordBytes) {
      records.push_back(part.substr(0, kRecordBytes));
      part.remove_prefix(kRecordBytes);
    }
  }
  const std::size_t count = std::min(max_records, records.size());
  std::ranges::partial_sort(
      records, records.begin() + static_cast<std::ptrdiff_t>(count),
      std::greater<>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (std::size_t i = 0; i < count; ++i) {
    merged += records[i];
  }
  return merged;
}

}  // namespace snipeworks
