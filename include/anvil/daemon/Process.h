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

/// Sends the log of this process to stderr. Call it once, before the first log
/// line.
void startLogging(const char *Program);

/// Returns the time of the monotonic clock; comparable within one VM only. The
/// clock goes on while the VM is suspended, so that nothing which was granted
/// for a time outlasts a suspension.
TimePoint monotonicNow();

/// Returns the wall clock time in microseconds since the Unix epoch.
int64_t wallClockMicros();

/// Returns a function that yields uniformly distributed numbers in [0, 1). The
/// generator is seeded by the operating system.
std::function<double()> makeRandomSource();

/// Runs one callback on the first termination signal (SIGTERM or SIGINT) and
/// another on each later one.
///
/// Usage: keep the object while the process serves; the callbacks run on the
/// thread of the io_context. Destroying it stops waiting for signals, so that
/// the io_context can run out of work.
class TerminationSignals {
public:
  TerminationSignals(boost::asio::io_context &Io, std::function<void()> OnFirst,
                     std::function<void()> OnSecond);
  ~TerminationSignals();
  TerminationSignals(const TerminationSignals &) = delete;
  TerminationSignals &operator=(const TerminationSignals &) = delete;

private:
  struct Impl;
  std::shared_ptr<Impl> m_Impl;
};

/// Raises the soft limit of open files to the hard limit. A control replica
/// holds one connection per agent, which in a full-size cluster is more than
/// the usual soft limit of 1,024.
/// \returns the soft limit in effect, or 0 if it can't be read.
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
