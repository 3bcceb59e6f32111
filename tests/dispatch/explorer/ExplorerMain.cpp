#include <cstdio>
#include <iostream>

#include <cxxopts.hpp>

#include "dispatch/sim/Faults.h"

// Plays simulated days under faults for a range of seeds and prints each broken
// promise; with --trace prints what happened on one of them.
int main(int Count, char **Arguments) {
  cxxopts::Options Flags("dispatch_explorer",
                         "Looks for broken promises in simulated days.");
  Flags.add_options()("first", "first seed",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "count", "number of seeds",
      cxxopts::value<uint64_t>()->default_value("100"))(
      "trace", "print lines that contain this text",
      cxxopts::value<std::string>()->default_value(""));
  const cxxopts::ParseResult Parsed = Flags.parse(Count, Arguments);
  const auto First = Parsed["first"].as<uint64_t>();
  const auto Seeds = Parsed["count"].as<uint64_t>();
  const std::string Wanted = Parsed["trace"].as<std::string>();
  uint64_t Broken = 0;
  for (uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    std::function<void(anvil::TimePoint, const std::string &)> Trace;
    if (!Wanted.empty())
      Trace = [&](anvil::TimePoint At, const std::string &Text) {
        if (Text.find(Wanted) != std::string::npos ||
            Text.find("leader") != std::string::npos)
          std::printf("%9.4f %s\n",
                      static_cast<double>(anvil::microsOf(At)) / 1e6,
                      Text.c_str());
      };
    const std::string Violation = anvil::sim::playFaultyDay(Seed, Trace);
    if (Violation.empty())
      continue;
    ++Broken;
    std::cout << "seed " << Seed << ": " << Violation << std::endl;
  }
  std::cout << Seeds << " days, " << Broken << " with a broken promise\n";
  return Broken == 0 ? 0 : 1;
}
