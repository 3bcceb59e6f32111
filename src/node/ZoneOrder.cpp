#include "ZoneOrder.h"

namespace anvil::node::internal {

void ZoneOrder::start(ZoneOrderPorts Ports, const wire::SetZone &Change,
                      TimePoint Deadline, EntryProcess::CallDone Done) {
  const std::shared_ptr<ZoneOrder> Order(
      new ZoneOrder(std::move(Ports), Change, Deadline, std::move(Done)));
  Order->askForRevision();
}

bool ZoneOrder::callerWaits() const {
  return !m_Ports.m_CallerWaits || m_Ports.m_CallerWaits();
}

wire::WorkloadCall ZoneOrder::newCall() const {
  wire::WorkloadCall Call;
  Call.requestId = "zone " + m_Change.availabilityZone;
  return Call;
}

void ZoneOrder::askForRevision() {
  wire::WorkloadCall Call = newCall();
  Call.__set_getZoneRevision(true);
  m_Ports.m_Call(Call, timeLeft(),
                 [Self = shared_from_this()](const CallResult &Result) {
                   Self->onRevision(Result);
                 });
}

void ZoneOrder::onRevision(const CallResult &Result) {
  if (!Result.succeeded()) {
    refuse(Result.m_Message);
    return;
  }
  if (timeLeft() <= Duration(0) || !callerWaits()) {
    refuse("the caller does not wait any more");
    return;
  }
  m_Change.__set_basedOnRevision(Result.m_ZoneRevision);
  wire::WorkloadCall Call = newCall();
  Call.__set_setZone(m_Change);
  m_Ports.m_Call(Call, timeLeft(),
                 [Self = shared_from_this()](CallResult Changed) {
                   Self->onChanged(std::move(Changed));
                 });
}

void ZoneOrder::onChanged(CallResult Result) {
  if (Result.m_Status != wire::WorkloadStatus::OUTDATED) {
    m_Done(std::move(Result));
    return;
  }
  m_MaybeExecuted = true;
  if (timeLeft() > Duration(0))
    askForRevision();
  else
    refuse("other orders on zones came first");
}

void ZoneOrder::refuse(std::string_view Reason) {
  CallResult Result;
  Result.m_Status = m_MaybeExecuted ? wire::WorkloadStatus::UNKNOWN
                                    : wire::WorkloadStatus::NOT_READY;
  Result.m_Message = std::string(Reason);
  m_Done(std::move(Result));
}

} // namespace anvil::node::internal
