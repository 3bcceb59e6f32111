#ifndef ANVIL_ENTRY_ENTRYMETRICS_H
#define ANVIL_ENTRY_ENTRYMETRICS_H

#include <cstdint>
#include <string>

#include "anvil/metrics/Metrics.h"
#include "anvil/net/HttpServer.h"
#include "anvil/route/RouterTypes.h"

namespace anvil::entry {

/// Times and counts that the entry itself measures.
struct EntryMetrics {
  /// Time of a service request from arrival to response.
  metrics::TimeSummary m_ServiceTime;
  /// Time of an operator request from arrival to response.
  metrics::TimeSummary m_OperatorTime;
  /// Time from arrival to the dispatch of an attempt.
  metrics::TimeSummary m_QueueTime;
  /// Number of syncs with a fresh read of the current or a newer version.
  int64_t m_Syncs = 0;
  int64_t m_SyncFailures = 0;
  /// Number of replies without a fresh read or with an older version.
  int64_t m_StaleSyncs = 0;
};

/// State of the entry at the time of a scrape.
struct EntryGauges {
  bool m_Ready = false;
  int64_t m_RouteVersion = 0;
  int64_t m_ConfigVersion = 0;
  size_t m_AgentConnections = 0;
};

/// Returns all metrics of an entry in the Prometheus text format.
std::string writeEntryMetrics(const EntryMetrics &Metrics,
                              const EntryGauges &Gauges,
                              const net::HttpCounters &Http,
                              const route::RouterCounters &Routing);

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRYMETRICS_H
