#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "anvil/daemon/Process.h"
#include "anvil/daemon/Settings.h"
#include "fakes/FakeMinion.h"

namespace {

using namespace anvil;

absl::Status parseDistribution(std::string_view Text,
                               fakes::ServiceTime &Value) {
  if (Text != "fixed" && Text != "exponential")
    return absl::InvalidArgumentError("must be fixed or exponential");
  Value = Text == "fixed" ? fakes::ServiceTime::Fixed
                          : fakes::ServiceTime::Exponential;
  return absl::OkStatus();
}

void declare(daemon::Settings &Reader, fakes::FakeMinionOptions &Options,
             int64_t &Targets, int64_t &Seed) {
  Reader.addEndpoint("listen", "127.0.0.1:0",
                     "First address; further targets take the ports after it.",
                     Options.m_Listen);
  Reader.addInteger("targets", 1, 1, 256, "Simulated minions in this process.",
                    Targets);
  Reader.addName("name", "minion", "Prefix of the minions' names in responses.",
                 Options.m_Name);
  Reader.addInteger("slots", 8, 1, 4096, "Slots of each minion.",
                    Options.m_Slots);
  Reader.addDuration("service-time", "20ms", Duration(0), std::chrono::hours(1),
                     "Mean service time.", Options.m_ServiceMean);
  Reader.add("distribution", "fixed", "Service times: fixed or exponential.",
             [&Options](std::string_view Text) {
               return parseDistribution(Text, Options.m_Distribution);
             });
  Reader.addInteger("response-bytes", 0, 0, 8 << 20,
                    "Padding of each response.", Options.m_ResponseBytes);
  Reader.addNumber("fail-rate", 0, 0, 1, "Share of requests answered with 500.",
                   Options.m_FailRate);
  Reader.addNumber("hang-rate", 0, 0, 1, "Share of requests never answered.",
                   Options.m_HangRate);
  Reader.addNumber("truncate-rate", 0, 0, 1,
                   "Share of responses cut in the middle.",
                   Options.m_TruncateRate);
  Reader.addNumber("close-rate", 0, 0, 1,
                   "Share of requests run and closed without a response.",
                   Options.m_CloseRate);
  Reader.addNumber("late-rate", 0, 0, 1,
                   "Share of requests that take late-time longer.",
                   Options.m_LateRate);
  Reader.addDuration("late-time", "2s", Duration(0), std::chrono::hours(1),
                     "Added to late requests.", Options.m_LateTime);
  Reader.addInteger("seed", 1, 0, INT64_MAX,
                    "Seed of faults and service times.", Seed);
}

} // namespace

int main(int Argc, char **Argv) {
  fakes::FakeMinionOptions Options;
  int64_t Targets = 1;
  int64_t Seed = 1;
  daemon::Settings Reader(
      "anvil-fake-minion",
      "Simulates minions for tests, the demo and measurements.");
  declare(Reader, Options, Targets, Seed);
  const auto Mode =
      Reader.read({Argv + 1, Argv + Argc}, daemon::environmentVariable);
  if (const std::optional<int> Code =
          daemon::finishStart(Reader, Mode, "anvil-fake-minion"))
    return *Code;

  auto Generator =
      std::make_shared<std::mt19937_64>(static_cast<uint64_t>(Seed));
  Options.m_Random = [Generator] {
    return std::uniform_real_distribution<double>(0, 1)(*Generator);
  };
  boost::asio::io_context Io(1);
  std::vector<std::unique_ptr<fakes::FakeMinion>> Minions;
  const std::string Prefix = Options.m_Name;
  const uint16_t FirstPort = Options.m_Listen.m_Port;
  for (int64_t Index = 0; Index < Targets; ++Index) {
    Options.m_Name = Prefix + "-" + std::to_string(Index);
    if (FirstPort != 0)
      Options.m_Listen.m_Port = static_cast<uint16_t>(FirstPort + Index);
    auto Minion = fakes::FakeMinion::create(Io, Options);
    if (!Minion.ok()) {
      std::cerr << Minion.status().message() << "\n";
      return 1;
    }
    std::cout << "listening " << Options.m_Name << " "
              << (*Minion)->endpoint().str() << std::endl;
    Minions.push_back(std::move(*Minion));
  }
  daemon::TerminationSignals Signals(
      Io, [&Io] { Io.stop(); }, [] {});
  Io.run();
  return 0;
}
