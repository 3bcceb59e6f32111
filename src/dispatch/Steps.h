#ifndef ANVIL_SRC_DISPATCH_STEPS_H
#define ANVIL_SRC_DISPATCH_STEPS_H

#include "workload_types.h"

namespace anvil::dispatch::internal {

/// Returns true if the tasks of the step run only together, and false if each
/// runs by itself, as the single task of a gang of one does.
inline bool runsTogether(const wire::StepSpec &Spec) {
  return Spec.gang && Spec.tasks > 1;
}

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_STEPS_H
