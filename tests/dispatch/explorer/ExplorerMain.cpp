#include <cstdio>
#include <iostream>

#include <cxxopts.hpp>

#include "dispatch/sim/Faults.h"

// Runs the fault simulation for a range of seeds and prints each violation.
// With --trace, also prints the matching events.
int main(int Count, char **Arguments) {
  cxxopts::Options Flags(
      "dispatch_explorer",
      "Looks for invariant violations in simulations with faults.");
  Flags.add_options()("first", "first seed",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "count", "number of seeds",
      cxxopts::value<uint64_t>()->default_value("100"))(
      "trace", "print lines that contain this text",
      cxxopts::value<std::string>()->default_value(""));
  const cxxopts::ParseResult Parsed = Flags.parse(Count, Arguments);
  const auto First = Parsed["first"].as<uint64_t>();
  const auto Seeds = Parsed["count"].as<uint64_t>();
  const std::string TraceFilter = Parsed["trace"].as<std::string>();
  uint64_t Failed = 0;
  for (uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    std::function<void(anvil::TimePoint, const std::string &)> Trace;
    if (!TraceFilter.empty())
      Trace = [&](anvil::TimePoint Now, const std::string &Text) {
        if (Text.find(TraceFilter) != std::string::npos ||
            Text.find("leader") != std::string::npos)
          std::printf("%9.4f %s\n",
                      static_cast<double>(anvil::microsOf(Now)) / 1e6,
                      Text.c_str());
      };
    const std::string Violation = anvil::sim::simulateWithFaults(Seed, Trace);
    if (Violation.empty())
      continue;
    ++Failed;
    std::cout << "seed " << Seed << ": " << Violation << std::endl;
  }
  std::cout << Seeds << " simulations, " << Failed << " with a violation\n";
  return Failed == 0 ? 0 : 1;
}
