#ifndef ANVIL_CONFIG_CANONICAL_H
#define ANVIL_CONFIG_CANONICAL_H

#include <algorithm>
#include <string>
#include <vector>

#include "anvil/config/Config.h"

namespace anvil::config::internal {

/// Returns pointers to \p Entries in name order.
template <typename Entry>
std::vector<const Entry *> sortedByName(const std::vector<Entry> &Entries) {
  std::vector<const Entry *> Sorted;
  Sorted.reserve(Entries.size());
  for (const Entry &Each : Entries)
    Sorted.push_back(&Each);
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const Entry *Left, const Entry *Right) {
                     return Left->m_Name < Right->m_Name;
                   });
  return Sorted;
}

/// Returns the canonical text of one entry. Omits nested named entries, which
/// are compared on their own.
std::string canonicalText(const Amount &Part);
std::string canonicalText(const Zone &Part);
std::string canonicalText(const Guarantee &Part);
std::string canonicalText(const RequestClass &Part);
std::string canonicalText(const Service &Part);
std::string canonicalText(const Limits &Part);

/// Returns the spelling of a value in documents.
std::string_view nameOf(Adjacency Value);
std::string_view nameOf(Urgency Value);

} // namespace anvil::config::internal

#endif // ANVIL_CONFIG_CANONICAL_H
