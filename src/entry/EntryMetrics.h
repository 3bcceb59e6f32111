#ifndef ANVIL_ENTRY_ENTRYMETRICS_H
#define ANVIL_ENTRY_ENTRYMETRICS_H

#include <cstdint>
#include <string>

#include "anvil/metrics/Metrics.h"
#include "anvil/net/HttpServer.h"
#include "anvil/route/RouterTypes.h"

namespace anvil::entry {

/// Times that the entry measures itself.
struct EntryMetrics {
  metrics::TimeSummary
      m_ServiceTime; ///< Requests for services, from arrival to response.
  metrics::TimeSummary m_OperatorTime; ///< Requests of operators.
  metrics::TimeSummary
      m_QueueTime; ///< From arrival to the dispatch of an attempt.
  int64_t m_Syncs = 0;
  int64_t m_SyncFailures = 0;
  int64_t m_StaleSyncs = 0; ///< Answers of replicas without a fresh read, or
                            ///< with an older version.
};

/// State of the entry at the time of a scrape.
struct EntryGauges {
  bool m_Ready = false;
  int64_t m_RouteVersion = 0;
  int64_t m_ConfigVersion = 0;
  size_t m_AgentConnections = 0;
};

/// Returns all metrics of an entry in the Prometheus text format.
std::string writeEntryMetrics(const EntryMetrics &Times,
                              const EntryGauges &Gauges,
                              const net::HttpCounters &Http,
                              const route::RouterCounters &Routing);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRYMETRICS_H
