#ifndef ANVIL_TESTS_RAFT_SUPPORT_SIMRANDOM_H
#define ANVIL_TESTS_RAFT_SUPPORT_SIMRANDOM_H

#include <cstdint>
#include <random>

namespace anvil::raft::sim {

/// Seeded random number generator with the same sequence on every platform.
class SimRandom {
public:
  explicit SimRandom(uint64_t Seed) : m_Engine(Seed) {}

  uint64_t below(uint64_t Bound) { return Bound == 0 ? 0 : m_Engine() % Bound; }
  int64_t between(int64_t Low, int64_t High) {
    return Low + static_cast<int64_t>(below(High - Low + 1));
  }
  bool chance(double Probability) {
    return static_cast<double>(below(1'000'000)) < Probability * 1e6;
  }
  template <typename Container> const auto &pick(const Container &Items) {
    return Items[below(Items.size())];
  }

private:
  std::mt19937_64 m_Engine;
};

} // namespace anvil::raft::sim

#endif // ANVIL_TESTS_RAFT_SUPPORT_SIMRANDOM_H
