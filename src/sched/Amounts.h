#ifndef ANVIL_SCHED_SRC_AMOUNTS_H
#define ANVIL_SCHED_SRC_AMOUNTS_H

#include <algorithm>
#include <cstdint>
#include <limits>

#include "anvil/sched/Job.h"

namespace anvil::sched::internal {

inline Resources operator+(const Resources &Left, const Resources &Right) {
  return {Left.m_Accelerators + Right.m_Accelerators,
          Left.m_Cores + Right.m_Cores, Left.m_MemoryMib + Right.m_MemoryMib};
}

inline Resources operator-(const Resources &Left, const Resources &Right) {
  return {Left.m_Accelerators - Right.m_Accelerators,
          Left.m_Cores - Right.m_Cores, Left.m_MemoryMib - Right.m_MemoryMib};
}

inline Resources operator*(const Resources &Amount, int64_t Factor) {
  return {Amount.m_Accelerators * Factor, Amount.m_Cores * Factor,
          Amount.m_MemoryMib * Factor};
}

inline Resources &operator+=(Resources &Left, const Resources &Right) {
  return Left = Left + Right;
}
inline Resources &operator-=(Resources &Left, const Resources &Right) {
  return Left = Left - Right;
}

inline Resources minOf(const Resources &Left, const Resources &Right) {
  return {std::min(Left.m_Accelerators, Right.m_Accelerators),
          std::min(Left.m_Cores, Right.m_Cores),
          std::min(Left.m_MemoryMib, Right.m_MemoryMib)};
}

inline Resources maxOf(const Resources &Left, const Resources &Right) {
  return {std::max(Left.m_Accelerators, Right.m_Accelerators),
          std::max(Left.m_Cores, Right.m_Cores),
          std::max(Left.m_MemoryMib, Right.m_MemoryMib)};
}

/// Returns \p Amount with negative parts replaced by zero.
inline Resources nonNegativePart(const Resources &Amount) {
  return maxOf(Amount, Resources{});
}

inline bool isZero(const Resources &Amount) { return Amount == Resources{}; }

inline bool anyNegative(const Resources &Amount) {
  return Amount.m_Accelerators < 0 || Amount.m_Cores < 0 ||
         Amount.m_MemoryMib < 0;
}

/// Returns whether \p Need fits into \p Room; resources that are not needed are
/// ignored, even if \p Room is negative there.
inline bool fits(const Resources &Need, const Resources &Room) {
  return (Need.m_Accelerators <= 0 ||
          Need.m_Accelerators <= Room.m_Accelerators) &&
         (Need.m_Cores <= 0 || Need.m_Cores <= Room.m_Cores) &&
         (Need.m_MemoryMib <= 0 || Need.m_MemoryMib <= Room.m_MemoryMib);
}

/// Returns how many tasks that need \p PerTask each fit into \p Room, at most
/// \p Limit.
inline int32_t tasksThatFit(const Resources &Room, const Resources &PerTask,
                            int32_t Limit) {
  if (!fits(PerTask, Room))
    return 0;
  int64_t Tasks = Limit;
  if (PerTask.m_Accelerators > 0)
    Tasks = std::min(Tasks, Room.m_Accelerators / PerTask.m_Accelerators);
  if (PerTask.m_Cores > 0)
    Tasks = std::min(Tasks, Room.m_Cores / PerTask.m_Cores);
  if (PerTask.m_MemoryMib > 0)
    Tasks = std::min(Tasks, Room.m_MemoryMib / PerTask.m_MemoryMib);
  return static_cast<int32_t>(Tasks);
}

/// Returns the largest share that \p Part takes of any resource of \p Whole.
inline double dominantShare(const Resources &Part, const Resources &Whole) {
  auto Share = [](int64_t Numerator, int64_t Denominator) {
    return Denominator > 0 ? static_cast<double>(Numerator) /
                                 static_cast<double>(Denominator)
                           : 0.0;
  };
  return std::max({Share(Part.m_Accelerators, Whole.m_Accelerators),
                   Share(Part.m_Cores, Whole.m_Cores),
                   Share(Part.m_MemoryMib, Whole.m_MemoryMib)});
}

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_AMOUNTS_H
