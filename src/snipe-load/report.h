#ifndef SNIPE_LOAD_REPORT_H_
#define SNIPE_LOAD_REPORT_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "load_run.h"

namespace snipeworks {

/// The value that `percent` of `sorted` stays at or under; 0 for none.
double PercentileOf(const std::vector<double>& sorted, double percent);

/// The figures of one arm.
nlohmann::json ReportOf(const LoadPlan& plan,
                        const LoadArm& arm,
                        ArmResult result);

/// The figures of all arms, for a person.
std::string ReportText(const std::vector<nlohmann::json>& arms);

}  // namespace snipeworks

#endif  // SNIPE_LOAD_REPORT_H_
