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
  /// Returns whether the guarantee would cover \p Job, which is not in the
  /// state, if it were added.
  bool wouldCover(const wire::JobRecord &Job) const;

private:
  bool coversNeed(const std::string &Workspace, int64_t Needed) const;

  std::map<std::string, int64_t> m_Needed; ///< By workspace.
  std::map<std::string, int64_t> m_Guaranteed;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_GUARANTEES_H
