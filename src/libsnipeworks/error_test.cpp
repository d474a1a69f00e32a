#include "snipeworks/error.h"

#include <set>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

TEST(ErrorTable, EveryKindHasOneRow) {
  std::set<ErrorKind> seen;
  for (const ErrorRow& row : ErrorTable()) {
    EXPECT_TRUE(seen.insert(row.kind).second) << row.name;
    EXPECT_EQ(RowOf(row.kind).name, row.name);
  }
  EXPECT_EQ(seen.size(), static_cast<std::size_t>(ErrorKind::kInternal) + 1);
}

TEST(ErrorTable, OnlyRefusalsSayNotRun) {
  const std::set<ErrorKind> may_have_run = {
      ErrorKind::kInProgress,     ErrorKind::kDeadline,
      ErrorKind::kTargetsFailed,  ErrorKind::kBrokeTargets,
      ErrorKind::kOutcomeUnknown, ErrorKind::kNoQuorum,
      ErrorKind::kInternal};
  for (const ErrorRow& row : ErrorTable()) {
    EXPECT_EQ(row.execution == ExecutionStatus::kNotRun,
              !may_have_run.contains(row.kind))
        << row.name;
  }
}

}  // namespace
}  // namespace snipeworks
