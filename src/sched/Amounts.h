#ifndef ANVIL_SCHED_SRC_AMOUNTS_H
#define ANVIL_SCHED_SRC_AMOUNTS_H

#include <algorithm>
#include <cstdint>
#include <limits>

#include "anvil/sched/Job.h"

namespace anvil::sched::internal {

inline Resources operator+(const Resources &A, const Resources &B) {
  return {A.m_Accelerators + B.m_Accelerators, A.m_Cores + B.m_Cores,
          A.m_MemoryMib + B.m_MemoryMib};
}

inline Resources operator-(const Resources &A, const Resources &B) {
  return {A.m_Accelerators - B.m_Accelerators, A.m_Cores - B.m_Cores,
          A.m_MemoryMib - B.m_MemoryMib};
}

inline Resources operator*(const Resources &A, int64_t Factor) {
  return {A.m_Accelerators * Factor, A.m_Cores * Factor,
          A.m_MemoryMib * Factor};
}

inline Resources &operator+=(Resources &A, const Resources &B) {
  return A = A + B;
}
inline Resources &operator-=(Resources &A, const Resources &B) {
  return A = A - B;
}

inline Resources minOf(const Resources &A, const Resources &B) {
  return {std::min(A.m_Accelerators, B.m_Accelerators),
          std::min(A.m_Cores, B.m_Cores),
          std::min(A.m_MemoryMib, B.m_MemoryMib)};
}

inline Resources maxOf(const Resources &A, const Resources &B) {
  return {std::max(A.m_Accelerators, B.m_Accelerators),
          std::max(A.m_Cores, B.m_Cores),
          std::max(A.m_MemoryMib, B.m_MemoryMib)};
}

/// Returns \p A with negative parts replaced by zero.
inline Resources positive(const Resources &A) { return maxOf(A, Resources{}); }

inline bool isZero(const Resources &A) { return A == Resources{}; }

inline bool anyNegative(const Resources &A) {
  return A.m_Accelerators < 0 || A.m_Cores < 0 || A.m_MemoryMib < 0;
}

/// Returns whether \p Need fits into \p Room in every part that is needed.
inline bool fits(const Resources &Need, const Resources &Room) {
  return (Need.m_Accelerators <= 0 ||
          Need.m_Accelerators <= Room.m_Accelerators) &&
         (Need.m_Cores <= 0 || Need.m_Cores <= Room.m_Cores) &&
         (Need.m_MemoryMib <= 0 || Need.m_MemoryMib <= Room.m_MemoryMib);
}

/// Returns how many pieces of \p PerTask fit into \p Room, at most \p Limit.
inline int32_t piecesIn(const Resources &Room, const Resources &PerTask,
                        int32_t Limit) {
  if (!fits(PerTask, Room))
    return 0;
  int64_t Pieces = Limit;
  if (PerTask.m_Accelerators > 0)
    Pieces = std::min(Pieces, Room.m_Accelerators / PerTask.m_Accelerators);
  if (PerTask.m_Cores > 0)
    Pieces = std::min(Pieces, Room.m_Cores / PerTask.m_Cores);
  if (PerTask.m_MemoryMib > 0)
    Pieces = std::min(Pieces, Room.m_MemoryMib / PerTask.m_MemoryMib);
  return static_cast<int32_t>(Pieces);
}

/// Returns the largest share that \p Part takes of any resource of \p Whole.
inline double dominantShare(const Resources &Part, const Resources &Whole) {
  auto Share = [](int64_t A, int64_t B) {
    return B > 0 ? static_cast<double>(A) / static_cast<double>(B) : 0.0;
  };
  return std::max({Share(Part.m_Accelerators, Whole.m_Accelerators),
                   Share(Part.m_Cores, Whole.m_Cores),
                   Share(Part.m_MemoryMib, Whole.m_MemoryMib)});
}

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_AMOUNTS_H
