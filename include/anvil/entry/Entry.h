#ifndef ANVIL_ENTRY_ENTRY_H
#define ANVIL_ENTRY_ENTRY_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/base/Time.h"
#include "anvil/entry/EntryOptions.h"
#include "anvil/net/Endpoint.h"

namespace boost::asio {
class io_context;
}

namespace anvil::entry {

/// Clocks and the random source of an entry.
struct EntryHooks {
  std::function<TimePoint()> m_Now;
  std::function<int64_t()> m_WallMicros;
  /// Returns a number in [0, 1).
  std::function<double()> m_Random;
};

/// How an entry ended.
struct EntryReport {
  std::vector<std::string>
      m_CutOff; ///< Method, path and id of each request that was cut off.
  size_t m_CutOffConnections = 0; ///< Connections that were closed in the
                                  ///< middle of a request or response.
};

/// Serves callers and operators over HTTP: routes requests to agents and passes
/// operators' calls on to control.
///
/// Usage: `auto Started = Entry::create(Io, Options, Hooks);`, run the
/// io_context, call shutdown() on the first termination signal and cutOff() on
/// the second. Single-threaded.
class Entry {
public:
  /// Binds the listener and starts the sync with control.
  /// \returns kUnavailable (HttpErrc::Listen) if the address can't be bound.
  static absl::StatusOr<std::unique_ptr<Entry>>
  create(boost::asio::io_context &Io, EntryOptions Options, EntryHooks Hooks);
  ~Entry();

  /// Returns the address of the HTTP listener.
  net::Endpoint endpoint() const;

  /// Reports not ready, closes the listener after the drain notice, finishes
  /// the requests in progress, then calls \p Stopped once. The drain limit, if
  /// set, counts from here.
  void shutdown(std::function<void(EntryReport)> Stopped);

  /// Ends a shutdown at once; the report names what was cut off.
  void cutOff();

private:
  struct Impl;
  explicit Entry(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRY_H
