#ifndef ANVIL_TESTS_SUPPORT_LOOPBACK_H
#define ANVIL_TESTS_SUPPORT_LOOPBACK_H

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace anvil::support {

/// One thread on which a test and the stand-ins exchange messages over free
/// loopback ports.
struct Loopback {
  /// Runs until \p Reached holds; the long limit only ends a test that has
  /// failed.
  bool runUntil(const std::function<bool()> &Reached) {
    const auto Limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!Reached() && std::chrono::steady_clock::now() < Limit) {
      // Without pending work the context stops and would ignore what is started
      // afterwards.
      if (m_Io.stopped())
        m_Io.restart();
      m_Io.run_one_for(std::chrono::milliseconds(10));
    }
    return Reached();
  }

  boost::asio::io_context m_Io{1};
};

} // namespace anvil::support

#endif // ANVIL_TESTS_SUPPORT_LOOPBACK_H
