#ifndef ANVIL_BENCH_REPORT_H
#define ANVIL_BENCH_REPORT_H

#include <string>
#include <vector>

#include "Cost.h"
#include "World.h"

namespace anvil::bench {

/// Figures of one arrival table with all policies.
struct TableFigures {
  std::string m_Table{};
  uint64_t m_Seed = 0;
  double m_Load = 0;
  double m_Bound = 0;
  /// Ours first, then the baselines in the order of PolicyNames.
  std::vector<Figures> m_Policies{};
};

inline const std::vector<std::string> PolicyNames = {"anvil", "fcfs",
                                                     "fcfs-skip", "partition"};

/// Prints the tables and the targets of section 3 of the design page.
void printReport(const std::vector<TableFigures> &Tables,
                 const std::vector<CostFigures> &Sizes);

/// Writes the figures as JSON; returns false if the file cannot be written.
bool writeJson(const std::string &Path, const std::vector<TableFigures> &Tables,
               const std::vector<CostFigures> &Sizes);

} // namespace anvil::bench

#endif // ANVIL_BENCH_REPORT_H
