#ifndef ANVIL_TESTS_SUPPORT_TESTENTRY_H
#define ANVIL_TESTS_SUPPORT_TESTENTRY_H

#include <algorithm>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "anvil/daemon/Process.h"
#include "anvil/node/EntryProcess.h"
#include "support/Loopback.h"

namespace anvil::support {

/// Returns a port of the loopback address that nothing listens on.
inline uint16_t findFreePort() {
  boost::asio::io_context Io;
  const boost::asio::ip::tcp::acceptor Probe(
      Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return Probe.local_endpoint().port();
}

/// Settings of a TestEntry.
struct TestEntryOptions {
  net::Endpoint m_Listen = {"127.0.0.1", 0};
  std::vector<net::Endpoint> m_Seeds;
  bool m_HasDisk = false;
  /// Result of the entry's random source; replicas of a group need different
  /// ones, since their ids come from it.
  double m_Random = 0.5;
};

/// An EntryProcess on the loopback address with a log, metrics and, if it has a
/// disk, a data folder that is removed in the end.
///
/// Usage: create one for each process of a test and run \p Loop.
class TestEntry {
public:
  TestEntry(Loopback &Loop, const TestEntryOptions &Options)
      : m_Address(Options.m_Listen) {
    node::EntryProcessOptions Process;
    Process.m_Name = "entry-" + std::to_string(Options.m_Listen.m_Port);
    Process.m_Listen = Options.m_Listen;
    Process.m_Address = Options.m_Listen;
    Process.m_Seeds = Options.m_Seeds;
    if (Options.m_HasDisk) {
      m_Folder =
          std::filesystem::temp_directory_path() /
          (Process.m_Name + "-" + std::to_string(daemon::wallClockMicros()));
      Process.m_DataFolder = m_Folder.string();
      Process.m_FirstStart = true;
    }
    Process.m_LeaseSpan = std::chrono::seconds(12);
    Process.m_Now = daemon::monotonicNow;
    Process.m_WallClockMicros = daemon::wallClockMicros;
    Process.m_Random = [Value = Options.m_Random] { return Value; };
    Process.m_Rpc.m_Random = Process.m_Random;
    Process.m_Metrics = &m_Metrics;
    auto Created = node::EntryProcess::create(Loop.m_Io, Process, m_Log);
    BOOST_REQUIRE_MESSAGE(Created.ok(), Created.status());
    m_Process = *std::move(Created);
  }
  ~TestEntry() {
    m_Process.reset();
    if (!m_Folder.empty())
      std::filesystem::remove_all(m_Folder);
  }
  TestEntry(const TestEntry &) = delete;
  TestEntry &operator=(const TestEntry &) = delete;

  node::EntryProcess &process() { return *m_Process; }
  const node::EntryProcess &process() const { return *m_Process; }
  log::EventLog &log() { return m_Log; }
  /// Returns the address at which RPCs arrive.
  const net::Endpoint &address() const { return m_Address; }
  std::string metricsText() const { return m_Metrics.text(); }
  /// Returns the number of lines in the log that contain \p Event.
  int64_t logged(std::string_view Event) const {
    return std::count_if(m_Lines.begin(), m_Lines.end(),
                         [&](const std::string &Line) {
                           return Line.find(Event) != std::string::npos;
                         });
  }

private:
  log::EventLogOptions logOptions() {
    log::EventLogOptions Options;
    Options.m_Process = "entry";
    Options.m_Now = daemon::monotonicNow;
    Options.m_WallClockMicros = daemon::wallClockMicros;
    Options.m_Write = [this](std::string_view Line) {
      m_Lines.emplace_back(Line);
      return true;
    };
    return Options;
  }

  const net::Endpoint m_Address;
  std::filesystem::path m_Folder; ///< Empty without a disk.
  metrics::Registry m_Metrics;
  std::vector<std::string> m_Lines;
  log::EventLog m_Log{logOptions()};
  std::unique_ptr<node::EntryProcess> m_Process;
};

/// Sends \p Call to \p Entry and runs \p Loop until its result comes.
inline node::CallResult
callAndWait(Loopback &Loop, TestEntry &Entry, const wire::WorkloadCall &Call,
            Duration Timeout = std::chrono::seconds(3)) {
  std::optional<node::CallResult> Result;
  Entry.process().call(Call, Timeout, [&Result](node::CallResult Answer) {
    Result = std::move(Answer);
  });
  BOOST_REQUIRE(Loop.runUntil([&Result] { return Result.has_value(); }));
  return *Result;
}

} // namespace anvil::support

#endif // ANVIL_TESTS_SUPPORT_TESTENTRY_H
