#ifndef ANVIL_SRC_NODE_ZONEORDER_H
#define ANVIL_SRC_NODE_ZONEORDER_H

#include <functional>
#include <memory>

#include "anvil/node/EntryProcess.h"

namespace anvil::node::internal {

/// What a ZoneOrder needs from its process.
struct ZoneOrderPorts {
  /// EntryProcess::call().
  std::function<void(const wire::WorkloadCall &, Duration,
                     EntryProcess::CallDone)>
      m_Call;
  /// Returns whether the caller of the order still waits for its answer. Empty
  /// if that can't be told.
  std::function<bool()> m_CallerWaits;
  std::function<TimePoint()> m_Now;
};

/// Carries out one order of an operator on an availability zone, and keeps it
/// from taking effect after its caller has given it up.
///
/// Callers give an order up after a second and send it to another process, and
/// newer orders follow. An order that then comes out of a frozen process must
/// not undo these. So it first asks the leader for the revision of the zones,
/// then checks that its caller waits, and then bases the change on that
/// revision: a process that freezes before the check finds its caller gone, and
/// a change that is held up after it finds a newer revision.
///
/// Usage: start() one for each order. It runs on the thread of the ports.
class ZoneOrder : public std::enable_shared_from_this<ZoneOrder> {
public:
  /// Starts the order; \p Done runs once. If another order comes first, this
  /// one begins anew until \p Deadline.
  static void start(ZoneOrderPorts Ports, const wire::SetZone &Change,
                    TimePoint Deadline, EntryProcess::CallDone Done);

private:
  ZoneOrder(ZoneOrderPorts Ports, const wire::SetZone &Change,
            TimePoint Deadline, EntryProcess::CallDone Done)
      : m_Ports(std::move(Ports)), m_Change(Change), m_Deadline(Deadline),
        m_Done(std::move(Done)) {}

  void askForRevision();
  void onRevision(const CallResult &Result);
  void onChanged(CallResult Result);
  void refuse(std::string_view Reason);
  wire::WorkloadCall newCall() const;
  bool callerWaits() const;
  Duration timeLeft() const { return m_Deadline - m_Ports.m_Now(); }

  const ZoneOrderPorts m_Ports;
  wire::SetZone m_Change;
  const TimePoint m_Deadline;
  const EntryProcess::CallDone m_Done;
  /// An earlier attempt may have taken effect: its answer may have been lost,
  /// so that the next attempt found its revision outdated.
  bool m_MaybeExecuted = false;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_ZONEORDER_H
