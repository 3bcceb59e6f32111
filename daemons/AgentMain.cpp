#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "anvil/agentd/AgentProcess.h"
#include "anvil/daemon/Process.h"
#include "anvil/daemon/Settings.h"

int main(int Argc, char **Argv) {
  using namespace anvil;

  agentd::AgentSettings Values;
  daemon::Settings Reader(
      "anvil-agent",
      "Runs beside one minion or worker and decides what may start on it.");
  agentd::declareAgentSettings(Reader, Values);
  const absl::StatusOr<daemon::StartMode> Mode =
      Reader.read({Argv + 1, Argv + Argc}, daemon::environmentVariable);
  if (const std::optional<int> Code =
          daemon::finishStart(Reader, Mode, "anvil-agent"))
    return *Code;
  daemon::startLogging(Argv[0]);

  boost::asio::io_context Io(1);
  int ExitCode = 0;
  agentd::AgentHooks Hooks;
  Hooks.m_Now = daemon::monotonicNow;
  Hooks.m_Random = daemon::makeRandomSource();
  Hooks.m_WallMicros = daemon::wallClockMicros;
  Hooks.m_Incarnation =
      agentd::makeIncarnation(daemon::wallClockMicros(), Hooks.m_Random());
  Hooks.m_OnLeft = [&](bool Graceful) {
    ExitCode = Graceful ? 0 : 1;
    Io.stop();
  };
  auto Agent = agentd::AgentProcess::create(Io, Values, Hooks);
  if (!Agent.ok()) {
    LOG(ERROR) << "agent: can't start: " << Agent.status().message();
    return 1;
  }
  LOG(INFO) << "agent: started vm=" << Values.m_Target.vm
            << " listen=" << (*Agent)->endpoint().str()
            << " incarnation=" << Hooks.m_Incarnation;
  daemon::TerminationSignals Signals(
      Io, [&] { (*Agent)->beginDrain(); }, [&] { (*Agent)->cutOff(); });
  Io.run();
  return ExitCode;
}
