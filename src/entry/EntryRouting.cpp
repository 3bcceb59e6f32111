#include "absl/strings/str_cat.h"
#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "EntryImpl.h"
#include "anvil/net/WireCodec.h"

namespace anvil::entry {

namespace {

// Bounds the retries of a CloseClaim command. After that the claim ends only
// when its agent is lost.
constexpr Duration CloseClaimTimeout = std::chrono::seconds(30);

route::SendFailure failureOf(const absl::Status &Status) {
  const std::optional<net::RpcErrc> Code = layerErrorOf<net::RpcErrc>(Status);
  if (Code == net::RpcErrc::NotSent || Code == net::RpcErrc::Overloaded)
    return route::SendFailure::NotSent;
  return route::SendFailure::NoAnswer;
}

} // namespace

void Entry::Impl::step(route::RouterEvent Event) {
  for (route::RouterAction &Action :
       m_Router.step(std::move(Event), m_Hooks.m_Now()))
    std::visit(
        [this](auto &&TypedAction) {
          perform(std::forward<decltype(TypedAction)>(TypedAction));
        },
        std::move(Action));
}

void Entry::Impl::submit(
    wire::Command Command, Duration Timeout, std::string_view TraceId,
    std::function<void(absl::StatusOr<wire::CommandResult>)> Done) {
  Command.proposedAtUs = m_Hooks.m_WallMicros();
  Command.traceId = TraceId;
  m_Control.call(wire::Method::SUBMIT_COMMAND, net::encodeStruct(Command),
                 Timeout, TraceId,
                 [Done = std::move(Done)](absl::StatusOr<std::string> Answer) {
                   if (!Answer.ok())
                     return Done(Answer.status());
                   Done(net::decodeAs<wire::CommandResult>(*Answer));
                 });
}

void Entry::Impl::perform(const route::OpenClaimAction &Action) {
  wire::Command Command;
  Command.__set_openClaim(Action.m_Claim);
  submit(std::move(Command), Action.m_Timeout, Action.m_TraceId,
         [Weak = weak_from_this(),
          Call = Action.m_Call](absl::StatusOr<wire::CommandResult> Result) {
           const std::shared_ptr<Impl> Self = Weak.lock();
           if (!Self || Self->m_Stopped)
             return;
           if (Result.ok())
             return Self->step(route::ClaimAnswered{Call, std::move(*Result)});
           Self->step(route::ClaimAnswered{Call, failureOf(Result.status())});
         });
}

void Entry::Impl::perform(const route::CloseClaimAction &Action) {
  wire::Command Command;
  Command.__set_closeClaim(Action.m_Claim);
  ++m_OpenClaimCloses;
  submit(std::move(Command), CloseClaimTimeout, Action.m_TraceId,
         [Weak = weak_from_this(), Id = Action.m_Claim.outcome.claimId](
             const absl::StatusOr<wire::CommandResult> &Result) {
           const std::shared_ptr<Impl> Self = Weak.lock();
           if (Self)
             --Self->m_OpenClaimCloses;
           if (!Result.ok())
             LOG(WARNING) << "entry: claim not closed claim=" << Id
                          << " error=" << Result.status();
         });
}

void Entry::Impl::perform(const route::DispatchAction &Action) {
  m_Metrics.m_QueueTime.add(Action.m_Waited);
  recordRequestEvent("entry.request-sent", Action.m_Id, Action.m_Vm,
                     "Sent to the agent.");
  m_Agents.execute(
      Action.m_AgentAddress, net::encodeStruct(Action.m_Request),
      Action.m_Timeout, Action.m_Request.requestId,
      [Weak = weak_from_this(),
       Attempt = Action.m_Attempt](absl::StatusOr<std::string> Answer) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->m_Stopped)
          return;
        absl::Status Failure = Answer.status();
        if (Answer.ok()) {
          absl::StatusOr<wire::ExecuteReply> Reply =
              net::decodeAs<wire::ExecuteReply>(*Answer);
          if (Reply.ok())
            return Self->step(route::AttemptEnded{Attempt, std::move(*Reply)});
          Failure = Reply.status();
        }
        Self->step(route::AttemptEnded{Attempt, failureOf(Failure)});
      });
}

void Entry::Impl::perform(route::AnswerAction Action) {
  const int64_t Id = Action.m_Id.value();
  const bool Completed = Action.m_Outcome == wire::Outcome::COMPLETED;
  recordRequestEvent(
      "entry.request-ended", Action.m_Id, "",
      Completed
          ? "Completed."
          : absl::StrCat("The outcome is unknown: ", Action.m_Reason, "."));
  respond(Id, renderAnswer(std::move(Action)));
}

void Entry::Impl::perform(const route::RefuseAction &Action) {
  const std::string Code(route::refusalText(Action.m_Reason).m_Code);
  recordRequestEvent("entry.request-refused", Action.m_Id, "",
                     absl::StrCat("Not run: ", Code, "."));
  respond(Action.m_Id.value(), renderRefusal(Action));
}

void Entry::Impl::recordRequestEvent(std::string_view Kind, route::RequestId Id,
                                     std::string_view Vm,
                                     std::string_view Text) {
  const auto Found = m_Pending.find(Id.value());
  if (Found == m_Pending.end())
    return;
  timeline::Subject Subject;
  Subject.m_Request = Found->second.m_Id;
  Subject.m_Workspace = Found->second.m_Workspace;
  Subject.m_Vm = Vm;
  m_Timeline.record(Kind, std::move(Subject), Text);
}

} // namespace anvil::entry
