#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "anvil/daemon/Process.h"
#include "anvil/daemon/Settings.h"
#include "anvil/entry/Entry.h"

int main(int Count, char **Arguments) {
  using namespace anvil;
  entry::EntryOptions Options;
  daemon::Settings Reader(
      "anvil-entry",
      "Routes requests to minions and passes operators' calls on to control.");
  entry::declareSettings(Reader, Options);
  const auto Mode = Reader.read({Arguments + 1, Arguments + Count},
                                daemon::environmentVariable);
  if (const std::optional<int> Code =
          daemon::finishStart(Reader, Mode, "anvil-entry"))
    return *Code;

  daemon::startLogging(Arguments[0]);
  LOG(INFO) << "entry: open files limit="
            << anvil::daemon::raiseOpenFileLimit();
  boost::asio::io_context Io(1);
  auto Started =
      entry::Entry::create(Io, Options,
                           {daemon::monotonicNow, daemon::wallClockMicros,
                            daemon::makeRandomSource()});
  if (!Started.ok()) {
    LOG(ERROR) << "entry: start failed error=" << Started.status();
    return 1;
  }
  int ExitCode = 0;
  const auto Stopped = [&Io, &ExitCode](const entry::EntryReport &Report) {
    ExitCode =
        Report.m_CutOff.empty() && Report.m_CutOffConnections == 0 ? 0 : 3;
    Io.stop();
  };
  const daemon::TerminationSignals Signals(
      Io, [&Started, Stopped] { (*Started)->shutdown(Stopped); },
      [&Started] { (*Started)->cutOff(); });
  Io.run();
  return ExitCode;
}
