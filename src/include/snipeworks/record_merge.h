#ifndef SNIPEWORKS_RECORD_MERGE_H_
#define SNIPEWORKS_RECORD_MERGE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace snipeworks {

/// Size of one record of a part's answer, in bytes.
inline constexpr std::size_t kRecordBytes = 16;

/// The `most` greatest records of `parts`, greatest first, compared byte by
/// byte; equal records all count. A remainder of a part that is shorter than a
/// record is left out.
std::string TopRecords(const std::vector<std::string_view>& parts,
                       std::size_t most);

}  // namespace snipeworks

#endif  // SNIPEWORKS_RECORD_MERGE_H_
