#ifndef SNIPE_LOAD_REPORT_H_
#define SNIPE_LOAD_REPORT_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "load_run.h"

namespace snipeworks {

/// The nearest-rank percentile of the ascending values `sorted`; 0 if empty.
double PercentileOf(const std::vector<double>& sorted, double percent);

/// The measurements of one arm as JSON.
nlohmann::json ReportOf(const LoadPlan& plan,
                        const LoadArm& arm,
                        ArmResult result);

/// The reports of all arms as a text table.
std::string ReportText(const std::vector<nlohmann::json>& arms);

}  // namespace snipeworks

#endif  // SNIPE_LOAD_REPORT_H_
