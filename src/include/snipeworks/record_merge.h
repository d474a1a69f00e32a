#ifndef SNIPEWORKS_RECORD_MERGE_H_
#define SNIPEWORKS_RECORD_MERGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipeworks {

/// Size of one record in the answer of a part, in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// Merges the `max_records` greatest records of `parts` in descending order.
/// Records are compared bytewise, and duplicates are kept. An incomplete record
/// at the end of a part is ignored.
std::string TopRecords(const std::vector<std::string_view>& parts,
                       std::size_t max_records);

}  // namespace snipeworks

#endif  // SNIPEWORKS_RECORD_MERGE_H_
