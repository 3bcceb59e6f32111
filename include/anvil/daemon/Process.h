#ifndef ANVIL_DAEMON_PROCESS_H
#define ANVIL_DAEMON_PROCESS_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "anvil/base/Time.h"

namespace boost::asio {
class io_context;
}

namespace anvil::daemon {

/// Sends the log of this process to stderr. Called once, before the first log
/// line.
void startLogging(const char *Program);

/// Returns the time on this process's monotonic clock.
TimePoint monotonicNow();

/// Returns microseconds since the Unix epoch.
int64_t wallClockMicros();

/// Returns numbers in [0, 1) from a generator seeded by the operating system.
std::function<double()> makeRandomSource();

/// Runs a hook for the first and another for the second termination signal
/// (SIGTERM or SIGINT).
///
/// Usage: keep the object for the lifetime of the io_context; the hooks run on
/// its thread. Destroying it stops waiting for signals, so that the io_context
/// can run out of work.
class TerminationSignals {
public:
  TerminationSignals(boost::asio::io_context &Io, std::function<void()> First,
                     std::function<void()> Second);
  ~TerminationSignals();
  TerminationSignals(const TerminationSignals &) = delete;
  TerminationSignals &operator=(const TerminationSignals &) = delete;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

/// Raises the soft limit of open files to the hard limit. A control replica
/// holds a connection for each of its agents, at full size more than the usual
/// soft limit of 1,024.
/// \returns the limit that is in force.
int64_t raiseOpenFileLimit();

/// Resource use of this process, read from the kernel.
struct Footprint {
  int64_t m_ResidentBytes = 0;
  double m_CpuSeconds = 0; ///< User and system time.
  int64_t m_OpenFiles = 0;
};

/// Returns the resource use of this process; fields that can't be read are 0.
Footprint readFootprint();

} // namespace anvil::daemon

#endif // ANVIL_DAEMON_PROCESS_H
