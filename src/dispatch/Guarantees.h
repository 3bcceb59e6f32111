#ifndef ANVIL_SRC_DISPATCH_GUARANTEES_H
#define ANVIL_SRC_DISPATCH_GUARANTEES_H

#include <cstdint>
#include <map>
#include <string>

#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// Only jobs of this priority, the highest, are covered by guarantees.
inline constexpr int32_t GuaranteedPriority = 0;

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
  /// Returns the number of accelerators that the workspace is guaranteed, 0 if
  /// it has no guarantee.
  int64_t guaranteed(const std::string &Workspace) const;
  /// Returns the smallest guarantee above 0 of all workspaces, or 0 if no
  /// workspace has one.
  int64_t smallest() const;
  /// Returns whether a workspace whose runs of the highest priority hold \p
  /// Held accelerators exceeds its guarantee. A workspace without a guarantee
  /// does with any run, even one that holds none.
  bool isExceeded(const std::string &Workspace, int64_t Held) const {
    const int64_t Guaranteed = guaranteed(Workspace);
    return Guaranteed == 0 || Held > Guaranteed;
  }

private:
  bool coversNeed(const std::string &Workspace, int64_t Needed) const;

  std::map<std::string, int64_t> m_Needed; ///< By workspace.
  std::map<std::string, int64_t> m_Guaranteed;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_GUARANTEES_H
