#ifndef ANVIL_ROUTE_RETRYBUDGET_H
#define ANVIL_ROUTE_RETRYBUDGET_H

#include <cmath>

#include "anvil/base/Time.h"

namespace anvil::route::internal {

/// Number of recent events. The weight of an event decays exponentially.
class RecentCount {
public:
  explicit RecentCount(Duration Window) : m_Window(Window) {}

  void add(TimePoint Now) {
    m_Value = value(Now) + 1;
    m_At = Now;
  }
  double value(TimePoint Now) const {
    const double Age = static_cast<double>((Now - m_At).count()) /
                       static_cast<double>(m_Window.count());
    return m_Value * std::exp(-Age);
  }

private:
  Duration m_Window;
  double m_Value = 0;
  TimePoint m_At{};
};

/// Limits retries to a share of recent requests plus a constant, so that
/// entries add little load to a failing service.
class RetryBudget {
public:
  RetryBudget(double Share, double Constant, Duration Window)
      : m_Share(Share), m_Constant(Constant), m_Requests(Window),
        m_Retries(Window) {}

  void recordRequest(TimePoint Now) { m_Requests.add(Now); }

  /// Returns true and counts a retry if the budget allows one more.
  bool tryTake(TimePoint Now) {
    if (m_Retries.value(Now) + 1 > m_Share * m_Requests.value(Now) + m_Constant)
      return false;
    m_Retries.add(Now);
    return true;
  }

private:
  double m_Share;
  double m_Constant;
  RecentCount m_Requests;
  RecentCount m_Retries;
};

/// Token bucket that limits the rate of events. The burst is the number of
/// events of 100 ms, but at least one.
class RateLimit {
public:
  explicit RateLimit(double PerSecond) : m_PerSecond(PerSecond) {}

  /// Returns true and takes a token if one is available.
  bool tryTake(TimePoint Now) {
    const double Gained =
        m_PerSecond * 1e-6 * static_cast<double>((Now - m_At).count());
    const double Burst = m_PerSecond / 10 < 1 ? 1 : m_PerSecond / 10;
    m_Tokens = m_Tokens + Gained > Burst ? Burst : m_Tokens + Gained;
    m_At = Now;
    if (m_Tokens < 1)
      return false;
    m_Tokens -= 1;
    return true;
  }

private:
  double m_PerSecond;
  double m_Tokens = 0;
  TimePoint m_At{};
};

} // namespace anvil::route::internal

#endif // ANVIL_ROUTE_RETRYBUDGET_H
