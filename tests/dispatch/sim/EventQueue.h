#ifndef ANVIL_TESTS_DISPATCH_SIM_EVENTQUEUE_H
#define ANVIL_TESTS_DISPATCH_SIM_EVENTQUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "anvil/base/Time.h"

namespace anvil::sim {

/// Event queue in virtual time. Events at equal times run in the order in which
/// they were added, so equal simulations have equal orders.
class EventQueue {
public:
  TimePoint now() const { return m_Now; }
  double seconds() const { return static_cast<double>(microsOf(m_Now)) / 1e6; }

  void at(TimePoint When, std::function<void()> Callback) {
    m_Events.emplace(std::pair(std::max(When, m_Now), m_Next++),
                     std::move(Callback));
  }
  void after(Duration Delay, std::function<void()> Callback) {
    at(m_Now + Delay, std::move(Callback));
  }
  /// Runs all events up to \p End and sets the time to it.
  void runUntil(TimePoint End) {
    while (!m_Events.empty() && m_Events.begin()->first.first <= End) {
      auto Node = m_Events.extract(m_Events.begin());
      m_Now = Node.key().first;
      Node.mapped()();
    }
    m_Now = End;
  }

private:
  TimePoint m_Now = timePointFromMicros(1'000'000);
  uint64_t m_Next = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> m_Events;
};

/// Seeded random numbers that are the same on every machine.
class Random {
public:
  explicit Random(uint64_t Seed) : m_Engine(Seed) {}

  /// Returns a number in [0, 1).
  double unit() { return static_cast<double>(m_Engine() >> 11) * 0x1.0p-53; }
  bool chance(double Share) { return unit() < Share; }
  /// Returns a whole number in [0, Bound).
  int64_t below(int64_t Bound) {
    return static_cast<int64_t>(unit() * static_cast<double>(Bound));
  }
  double between(double Low, double High) {
    return Low + (High - Low) * unit();
  }
  Duration between(Duration Low, Duration High) {
    return Low + Duration(below((High - Low).count() + 1));
  }

private:
  std::mt19937_64 m_Engine;
};

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_EVENTQUEUE_H
