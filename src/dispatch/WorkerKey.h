#ifndef ANVIL_SRC_DISPATCH_WORKERKEY_H
#define ANVIL_SRC_DISPATCH_WORKERKEY_H

#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// Identifies one incarnation of a worker.
using WorkerKey = workload::WorkloadState::IncarnationKey;

inline WorkerKey keyOf(const wire::WorkerIncarnation &Worker) {
  return {Worker.id, Worker.startedAtMs};
}

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_WORKERKEY_H
