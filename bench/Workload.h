#ifndef ANVIL_BENCH_WORKLOAD_H
#define ANVIL_BENCH_WORKLOAD_H

#include "World.h"

namespace anvil::bench {

/// Share of the accelerators that a busy day asks for; the users' accelerators
/// are scarce.
inline constexpr double BusyDay = 0.85;
/// The same for a day that asks for more than there is.
inline constexpr double PeakDay = 1.1;

/// One day of Malabar Shellgrit: 10 workers in 3 zones; quotes by day, sieve
/// reports, reconciliations by night, research gangs of up to 24.
Table malabarToday(uint64_t Seed, double Load);

/// One day of Swanbourne Cheque Services: 10 workers in 4 zones; reorders,
/// checks, proofs, a bank file by night. One zone leaves while the bank file
/// runs and returns an hour later.
Table swanbourneToday(uint64_t Seed, double Load);

/// Some hours at the size of section 3 of the design page: 8,300 workers,
/// 15,000 accelerators, 200 workspaces, 4,600 jobs a day, gangs of up to 256.
/// One zone leaves and returns.
Table fullSize(uint64_t Seed, double Load);

/// Returns the workers of the full size, scaled down by keeping one of \p
/// Divisor.
std::vector<WorkerUp> fullFleet(int Divisor);

/// Returns a bound in seconds that no schedule's mean completion time can be
/// below.
///
/// For the jobs that need accelerators and for the others apart, the sum of
/// completion times is at least that of shortest remaining work first on one
/// server as fast as all workers that can work together, and at least the sum
/// of run times.
double completionBound(const Table &Source, Duration StartOverhead);

} // namespace anvil::bench

#endif // ANVIL_BENCH_WORKLOAD_H
