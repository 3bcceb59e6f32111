#include "anvil/daemon/Process.h"

#include <chrono>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <random>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

namespace anvil::daemon {

void startLogging(const char *Program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
}

TimePoint monotonicNow() {
  // steady_clock stands still while the VM is suspended.
  timespec Time{};
  PCHECK(::clock_gettime(CLOCK_BOOTTIME, &Time) == 0);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::nanoseconds(Time.tv_nsec)));
}

int64_t wallClockMicros() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(SinceEpoch).count();
}

std::function<double()> makeRandomSource() {
  std::random_device Device;
  auto Generator =
      std::make_shared<std::mt19937_64>((uint64_t{Device()} << 32) ^ Device());
  return [Generator] {
    return std::uniform_real_distribution<double>(0, 1)(*Generator);
  };
}

struct TerminationSignals::Impl : std::enable_shared_from_this<Impl> {
  Impl(boost::asio::io_context &Io, std::function<void()> OnFirst,
       std::function<void()> OnSecond)
      : m_Signals(Io, SIGTERM, SIGINT), m_OnFirst(std::move(OnFirst)),
        m_OnSecond(std::move(OnSecond)) {}

  void wait() {
    m_Signals.async_wait([Self = shared_from_this()](
                             const boost::system::error_code &Error, int) {
      if (Error || Self->m_Stopped)
        return;
      const std::function<void()> Callback =
          Self->m_Count++ == 0 ? Self->m_OnFirst : Self->m_OnSecond;
      Self->wait();
      Callback();
    });
  }

  boost::asio::signal_set m_Signals;
  std::function<void()> m_OnFirst;
  std::function<void()> m_OnSecond;
  int m_Count = 0;
  bool m_Stopped = false;
};

TerminationSignals::TerminationSignals(boost::asio::io_context &Io,
                                       std::function<void()> OnFirst,
                                       std::function<void()> OnSecond)
    : m_Impl(
          std::make_shared<Impl>(Io, std::move(OnFirst), std::move(OnSecond))) {
  m_Impl->wait();
}

TerminationSignals::~TerminationSignals() {
  m_Impl->m_Stopped = true;
  m_Impl->m_Signals.cancel();
}

int64_t raiseOpenFileLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return 0;
  const rlim_t PreviousLimit = Limit.rlim_cur;
  Limit.rlim_cur = Limit.rlim_max;
  if (::setrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return static_cast<int64_t>(PreviousLimit);
  return static_cast<int64_t>(Limit.rlim_cur);
}

Footprint readFootprint() {
  Footprint Result;
  std::ifstream Statm("/proc/self/statm");
  int64_t TotalPages = 0;
  int64_t ResidentPages = 0;
  if (Statm >> TotalPages >> ResidentPages)
    Result.m_ResidentBytes = ResidentPages * sysconf(_SC_PAGESIZE);
  rusage Usage{};
  if (getrusage(RUSAGE_SELF, &Usage) == 0) {
    const auto Seconds = [](const timeval &Time) {
      return static_cast<double>(Time.tv_sec) +
             1e-6 * static_cast<double>(Time.tv_usec);
    };
    Result.m_CpuSeconds = Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
  }
  std::error_code Error;
  for (std::filesystem::directory_iterator It("/proc/self/fd", Error), End;
       !Error && It != End; It.increment(Error))
    ++Result.m_OpenFiles;
  return Result;
}

} // namespace anvil::daemon
