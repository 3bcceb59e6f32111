#ifndef ANVIL_SCHED_SRC_FINDER_H
#define ANVIL_SCHED_SRC_FINDER_H

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include "Fleet.h"

namespace anvil::sched::internal {

/// Resources and adjacency that a gang needs.
struct Demand {
  Resources m_PerTask;
  int32_t m_Tasks = 1;
  Adjacency m_Adjacency = Adjacency::Any;
  bool m_Required = false;
};

/// Which resources of a worker a search may use.
enum class RoomKind {
  /// Own guarantee, neither borrowed nor lent; searched on its workers with
  /// findAmong().
  Guaranteed,
  /// Free resources that are guaranteed to no workspace.
  Unguaranteed,
  /// All free resources, including those borrowed from other guarantees.
  Free,
  /// Resources that a non-preemptible gang may use.
  NonPreemptible,
};

/// Chooses workers for a whole gang: one VM if possible, else one rack, else
/// one zone, else the fewest racks, and among equals the tightest fit, which
/// limits fragmentation.
class Finder {
public:
  /// Returns the room of a worker.
  using RoomFn = std::function<Resources(WorkerIndex)>;

  explicit Finder(const Fleet &Workers) : m_Fleet(&Workers) {}

  /// Searches all usable workers except \p Avoided. \p Freed is the room per
  /// worker that is added to the free resources; empty for none. Returns an
  /// empty list if the gang does not fit as a whole.
  std::vector<Member> find(const Demand &Need, RoomKind Kind,
                           std::span<const WorkerIndex> Avoided = {},
                           std::span<const Resources> Freed = {});
  /// Searches the given workers with the given rooms, whether usable or not.
  std::vector<Member> findAmong(const Demand &Need,
                                std::span<const WorkerIndex> Workers,
                                const RoomFn &Room);

  /// Worker records read so far.
  int64_t scanned() const { return m_Scanned; }

private:
  struct Candidate {
    WorkerIndex m_Worker = 0;
    int32_t m_Tasks = 0;
    int32_t m_Rack = 0;
    int32_t m_Zone = 0;
    /// Accelerators, then cores, left over after m_Tasks tasks; orders equal
    /// fits.
    int64_t m_Leftover = 0;
  };

  /// Candidates of one search and the total number of tasks that they can hold.
  struct Candidates {
    std::vector<Candidate> m_Entries{};
    int64_t m_Total = 0;
  };

  void scanAll(const Demand &Need, RoomKind Kind,
               std::span<const WorkerIndex> Avoided,
               std::span<const Resources> Freed);
  void scanWithAccelerators(const Demand &Need, RoomKind Kind,
                            std::span<const WorkerIndex> Avoided,
                            std::span<const Resources> Freed);
  void scanOne(const Demand &Need, RoomKind Kind,
               std::span<const WorkerIndex> Avoided,
               std::span<const Resources> Freed, WorkerIndex Index);
  void addCandidate(Candidates &Found, const Demand &Need, WorkerIndex Worker,
                    const Resources &Room) const;
  void clear();
  std::vector<Member> choose(Candidates &Pool, const Demand &Need) const;
  std::vector<Member> chooseVm(const Candidates &Pool,
                               const Demand &Need) const;
  std::vector<Member> chooseRacks(Candidates &Pool, const Demand &Need) const;
  void takeFromRack(std::span<const Candidate> Rack, int32_t &Remaining,
                    std::vector<Member> &Result) const;

  const Fleet *m_Fleet;
  /// Candidates with all their room.
  Candidates m_All;
  /// For work without accelerators: candidates without the cores and memory
  /// that their idle accelerators need.
  Candidates m_SparingCores;
  int64_t m_Scanned = 0;
};

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_FINDER_H
