#ifndef ANVIL_WORKLOAD_AMOUNTS_H
#define ANVIL_WORKLOAD_AMOUNTS_H

#include <cstdint>

#include "workload_types.h"

namespace anvil::workload {

/// Adds \p Count times \p More to \p Sum.
inline void add(wire::ResourceAmounts &Sum, const wire::ResourceAmounts &More,
                int32_t Count = 1) {
  Sum.milliCores += More.milliCores * Count;
  Sum.memoryMib += More.memoryMib * Count;
  Sum.accelerators += More.accelerators * Count;
}

/// Subtracts \p Count times \p Less from \p Sum; amounts may become negative.
inline void subtract(wire::ResourceAmounts &Sum,
                     const wire::ResourceAmounts &Less, int32_t Count = 1) {
  add(Sum, Less, -Count);
}

/// Returns true if a worker of \p Capacity, of which \p Used is taken, has room
/// for \p Count times \p Need.
inline bool fits(const wire::ResourceAmounts &Capacity,
                 const wire::ResourceAmounts &Used,
                 const wire::ResourceAmounts &Need, int32_t Count = 1) {
  const auto Free = [&](int32_t Has, int32_t Taken, int32_t Wants) {
    return int64_t{Has} - Taken >= int64_t{Wants} * Count;
  };
  return Free(Capacity.milliCores, Used.milliCores, Need.milliCores) &&
         Free(Capacity.memoryMib, Used.memoryMib, Need.memoryMib) &&
         Free(Capacity.accelerators, Used.accelerators, Need.accelerators);
}

/// Returns the amounts of a worker's capacity that one task takes. A task that
/// uses spare cores takes no cores.
inline wire::ResourceAmounts countedAmounts(const wire::StepSpec &Step) {
  wire::ResourceAmounts Result = Step.perTask;
  if (Step.usesSpareCores)
    Result.milliCores = 0;
  return Result;
}

} // namespace anvil::workload

#endif // ANVIL_WORKLOAD_AMOUNTS_H
