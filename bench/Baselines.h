#ifndef ANVIL_BENCH_BASELINES_H
#define ANVIL_BENCH_BASELINES_H

#include "World.h"

namespace anvil::bench {

/// First come first served, each gang on the first workers that have room. With
/// \p Skip, a job that does not fit lets later ones pass; without, it blocks
/// them.
Policy firstComeFirstServed(const Table &Source, bool Skip);

/// Gives each workspace whole workers in proportion to its guarantees; first
/// come first served within, with skipping.
Policy staticPartition(const Table &Source);

} // namespace anvil::bench

#endif // ANVIL_BENCH_BASELINES_H
