#include <iostream>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "anvil/daemon/Process.h"
#include "anvil/daemon/Settings.h"
#include "fakes/FakeWorker.h"

namespace {

using namespace anvil;

void declare(daemon::Settings &Reader, fakes::FakeWorkerOptions &Options,
             int64_t &Targets) {
  const Duration Zero(0);
  const Duration Hour = std::chrono::hours(1);
  Reader.addEndpoint("listen", "127.0.0.1:0",
                     "First address; further targets take the ports after it.",
                     Options.m_Listen);
  Reader.addInteger("targets", 1, 1, 256, "Simulated workers in this process.",
                    Targets);
  Reader.addInteger("accelerators", 8, 0, 1024, "Accelerators of each worker.",
                    Options.m_Accelerators);
  Reader.addInteger("cores", 64, 0, 65536, "Cores of each worker.",
                    Options.m_Cores);
  Reader.addDuration("run-time", "10s", Zero, std::chrono::hours(24),
                     "Run time of tasks without run_ms.", Options.m_RunTime);
  Reader.addDuration("checkpoint-time", "100ms", Zero, Hour,
                     "Time to write a checkpoint.", Options.m_CheckpointTime);
  Reader.addDuration("stop-time", "20ms", Zero, Hour, "Time to stop a task.",
                     Options.m_StopTime);
  Reader.addDuration("start-time", "0s", Zero, Hour,
                     "Time before a start is answered.", Options.m_StartTime);
  Reader.addDuration("usage-lag", "5s", Zero, Hour,
                     "Age of the reported usage.", Options.m_UsageLag);
  Reader.addSwitch("fail-starts", "Refuse every start.", Options.m_FailStarts);
  Reader.addSwitch("ignore-stop",
                   "Let tasks end only with their lease or run time.",
                   Options.m_IgnoreStop);
}

} // namespace

int main(int Argc, char **Argv) {
  fakes::FakeWorkerOptions Options;
  int64_t Targets = 1;
  daemon::Settings Reader(
      "anvil-fake-worker",
      "Simulates workers for tests, the demo and measurements.");
  declare(Reader, Options, Targets);
  const auto Mode =
      Reader.read({Argv + 1, Argv + Argc}, daemon::environmentVariable);
  if (const std::optional<int> Code =
          daemon::finishStart(Reader, Mode, "anvil-fake-worker"))
    return *Code;

  Options.m_Instance = daemon::wallClockMicros();
  boost::asio::io_context Io(1);
  std::vector<std::unique_ptr<fakes::FakeWorker>> Workers;
  const uint16_t FirstPort = Options.m_Listen.m_Port;
  for (int64_t Index = 0; Index < Targets; ++Index) {
    if (FirstPort != 0)
      Options.m_Listen.m_Port = static_cast<uint16_t>(FirstPort + Index);
    auto Worker = fakes::FakeWorker::create(Io, Options);
    if (!Worker.ok()) {
      std::cerr << Worker.status().message() << "\n";
      return 1;
    }
    std::cout << "listening worker-" << Index << " "
              << (*Worker)->endpoint().str() << std::endl;
    Workers.push_back(std::move(*Worker));
  }
  daemon::TerminationSignals Signals(
      Io, [&Io] { Io.stop(); }, [] {});
  Io.run();
  return 0;
}
