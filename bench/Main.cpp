// Measures the scheduler against baselines and the targets of the design page.
// Usage: anvil_bench OUTPUT.json [today] [full] [cost]; without names
// everything is run.
#include <cstdio>
#include <memory>
#include <set>
#include <string>

#include "Baselines.h"
#include "Report.h"
#include "Workload.h"

namespace {

using namespace anvil::bench;

constexpr uint64_t TableSeeds[] = {11, 12, 13};
constexpr uint64_t CostSeed = 21;
// From the smallest to the full size.
constexpr int Divisors[] = {16, 8, 4, 2, 1};

Policy ours() {
  auto Scheduler = std::make_shared<anvil::sched::Scheduler>(
      *anvil::sched::Scheduler::create({}));
  return
      [Scheduler](const anvil::sched::SchedulerEvent &Event,
                  anvil::TimePoint Now) { return Scheduler->step(Event, Now); };
}

TableFigures measure(const Table &Source) {
  TableFigures Result{Source.m_Name,
                      Source.m_Seed,
                      Source.m_Load,
                      completionBound(Source, std::chrono::milliseconds(200)),
                      {}};
  const Policy Policies[] = {ours(), firstComeFirstServed(Source, false),
                             firstComeFirstServed(Source, true),
                             staticPartition(Source)};
  for (const Policy &Each : Policies) {
    Result.m_Policies.push_back(World(Source, Each).run());
    std::fprintf(stderr, "bench: ran table=%s seed=%llu policy=%s\n",
                 Source.m_Name.c_str(),
                 static_cast<unsigned long long>(Source.m_Seed),
                 PolicyNames[Result.m_Policies.size() - 1].c_str());
  }
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 2) {
    std::fprintf(stderr,
                 "usage: anvil_bench OUTPUT.json [today] [full] [cost]\n");
    return 2;
  }
  const std::set<std::string> Parts(Arguments + 2, Arguments + Count);
  auto Wanted = [&](const char *Part) {
    return Parts.empty() || Parts.contains(Part);
  };
  std::vector<TableFigures> Tables;
  std::vector<CostFigures> Sizes;
  if (Wanted("today")) {
    for (const double Load : {BusyDay, PeakDay}) {
      for (const uint64_t Seed : TableSeeds) {
        Tables.push_back(measure(malabarToday(Seed, Load)));
        Tables.push_back(measure(swanbourneToday(Seed, Load)));
      }
    }
  }
  if (Wanted("full")) {
    Tables.push_back(measure(fullSize(TableSeeds[0], BusyDay)));
    Tables.push_back(measure(fullSize(TableSeeds[0], PeakDay)));
  }
  if (Wanted("cost")) {
    for (const int Divisor : Divisors)
      Sizes.push_back(measureCost(Divisor, CostSeed));
  }
  printReport(Tables, Sizes);
  if (!writeJson(Arguments[1], Tables, Sizes)) {
    std::fprintf(stderr, "bench: cannot write %s\n", Arguments[1]);
    return 1;
  }
  return 0;
}
