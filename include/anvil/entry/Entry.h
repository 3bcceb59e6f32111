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

/// The clocks and the random source of an entry. All of them must be set.
struct EntryHooks {
  /// Returns the monotonic time, which deadlines and periods are based on.
  std::function<TimePoint()> m_Now;
  /// Returns the wall clock time in microseconds since the Unix epoch. It
  /// stamps commands and timeline events.
  std::function<int64_t()> m_WallMicros;
  /// Returns a number in [0, 1).
  std::function<double()> m_Random;
};

/// What a shutdown interrupted. Both members are empty or 0 if every request
/// was finished.
struct EntryReport {
  /// Method, path and id of each request that had no response.
  std::vector<std::string> m_CutOff;
  /// Number of connections that were closed in the middle of a request or a
  /// response.
  size_t m_CutOffConnections = 0;
};

/// The HTTP server for callers and operators. It routes service requests to
/// agents and forwards operator requests to control.
///
/// Usage: `auto Started = Entry::create(Io, Options, Hooks);`, run the
/// io_context, call shutdown() on the first termination signal and cutOff() on
/// the second. Single-threaded.
class Entry {
public:
  /// Binds the listener and starts to sync with control.
  /// \returns kUnavailable (HttpErrc::Listen) if the address can't be bound.
  static absl::StatusOr<std::unique_ptr<Entry>>
  create(boost::asio::io_context &Io, EntryOptions Options, EntryHooks Hooks);
  ~Entry();

  /// Returns the address of the HTTP listener, with the assigned port if the
  /// options set port 0.
  net::Endpoint endpoint() const;

  /// Reports not ready, closes the listener after the drain notice, finishes
  /// the requests in progress, then calls \p Stopped once. The drain limit, if
  /// set, starts with this call. Further calls have no effect.
  void shutdown(std::function<void(EntryReport)> Stopped);

  /// Stops the entry immediately. The report of the shutdown lists the
  /// interrupted requests.
  void cutOff();

private:
  struct Impl;
  explicit Entry(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_ENTRY_H
