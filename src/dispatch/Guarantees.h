#ifndef ANVIL_SRC_DISPATCH_GUARANTEES_H
#define ANVIL_SRC_DISPATCH_GUARANTEES_H

#include <map>
#include <string>

#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// Tells which jobs the guarantee of their workspace covers. The guarantee
/// applies to jobs of the highest priority, and only while all such jobs of the
/// workspace together need no more accelerators than it guarantees.
class Guarantees {
public:
  explicit Guarantees(const workload::WorkloadState &State);

  bool covers(const wire::JobRecord &Job) const;

private:
  std::map<std::string, int64_t> m_Needed; ///< By workspace.
  std::map<std::string, int64_t> m_Guaranteed;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_GUARANTEES_H
