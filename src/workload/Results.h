#ifndef ANVIL_SRC_WORKLOAD_RESULTS_H
#define ANVIL_SRC_WORKLOAD_RESULTS_H

#include <string>
#include <string_view>

#include "workload_types.h"

namespace anvil::workload::internal {

/// Returns a result with a status and, for refusals, the reason.
inline wire::WorkloadResult resultOf(wire::WorkloadStatus::type Status,
                                     std::string_view Message = "") {
  wire::WorkloadResult Result;
  Result.status = Status;
  Result.message = std::string(Message);
  return Result;
}

} // namespace anvil::workload::internal

#endif // ANVIL_SRC_WORKLOAD_RESULTS_H
