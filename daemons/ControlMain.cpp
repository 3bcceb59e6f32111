// The control process. It holds one replica of the replicated state and serves
// the sessions of agents and entries.

#include <iostream>

#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "anvil/control/ControlServer.h"
#include "anvil/control/ControlSettings.h"
#include "anvil/daemon/Process.h"
#include "anvil/daemon/Settings.h"

namespace {

int serve(anvil::control::ControlOptions Options) {
  LOG(INFO) << "control: open files limit="
            << anvil::daemon::raiseOpenFileLimit();
  boost::asio::io_context Io;
  anvil::control::fillProcessHooks(Options);
  int ExitCode = 0;
  auto Server = anvil::control::ControlServer::create(
      Io, std::move(Options), [&](const absl::Status &) {
        ExitCode = 1;
        Io.stop();
      });
  if (!Server.ok()) {
    LOG(ERROR) << "control: can't start: " << Server.status().message();
    return 1;
  }
  LOG(INFO) << "control: listening address=" << (*Server)->endpoint().str();
  const anvil::daemon::TerminationSignals Signals(
      Io, [&] { (*Server)->shutDown([&] { Io.stop(); }); },
      [&] {
        LOG(WARNING) << "control: second signal, leaving without handing "
                        "leadership over";
        Io.stop();
      });
  Io.run();
  LOG(INFO) << "control: stopped";
  return ExitCode;
}

} // namespace

int main(int Argc, char **Argv) {
  anvil::daemon::startLogging(Argv[0]);
  anvil::control::ControlOptions Options;
  anvil::daemon::Settings Reader = anvil::control::controlSettings(Options);
  const auto Mode =
      Reader.read({Argv + 1, Argv + Argc}, anvil::daemon::environmentVariable);
  if (const std::optional<int> Code =
          anvil::daemon::finishStart(Reader, Mode, "anvil-control"))
    return *Code;
  return serve(std::move(Options));
}
