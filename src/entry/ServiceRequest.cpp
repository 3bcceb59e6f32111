#include "ServiceRequest.h"

#include "absl/strings/numbers.h"

#include "HttpText.h"
#include "anvil/base/Port.h"

namespace anvil::entry {

namespace {

constexpr size_t MaxRequestIdLength = 128;
constexpr int64_t MaxTimeoutMs = 600000;

net::HttpResponse invalidField(std::string_view Field,
                               std::string_view Message) {
  net::HttpResponse Response =
      net::makeHttpError(400, "invalid-field", Message, Field);
  setOutcome(Response, wire::Outcome::NOT_RUN);
  return Response;
}

bool readTimeout(const std::string &Text, std::optional<Duration> &Timeout) {
  if (Text.empty())
    return true;
  int64_t Milliseconds = 0;
  if (!absl::SimpleAtoi(Text, &Milliseconds) || Milliseconds < 1 ||
      Milliseconds > MaxTimeoutMs)
    return false;
  Timeout = std::chrono::milliseconds(Milliseconds);
  return true;
}

/// A header and the variable that its value is stored in.
struct HeaderBinding {
  std::string_view m_Name;
  std::string &m_Value;
};

} // namespace

std::variant<std::string, net::HttpResponse>
readRequestId(const net::HttpRequest &Request) {
  std::string Id;
  if (!readSingleField(Request, RequestIdField, Id) ||
      (!Id.empty() && !isVisibleAscii(Id, MaxRequestIdLength)))
    return invalidField(
        RequestIdField,
        "must appear once and have up to 128 visible characters");
  return Id;
}

std::variant<route::RequestArrived, net::HttpResponse>
readServiceRequest(net::HttpRequest Request) {
  const std::vector<std::string_view> Parts = splitPath(Request.m_Path);
  if (Parts.size() < 2 || !isName(Parts[1]))
    return invalidField("service",
                        "the path must be /services/{service}/{path}");
  route::RequestArrived Event;
  std::string Timeout;
  const HeaderBinding Headers[] = {{"Anvil-Workspace", Event.m_Workspace},
                                   {"Anvil-Class", Event.m_Class},
                                   {"Idempotency-Key", Event.m_Key},
                                   {"X-Request-Timeout-Ms", Timeout},
                                   {"Content-Type", Event.m_ContentType}};
  for (const HeaderBinding &Header : Headers) {
    if (!readSingleField(Request, Header.m_Name, Header.m_Value))
      return invalidField(Header.m_Name, "must not appear twice");
  }
  if (!readTimeout(Timeout, Event.m_Timeout))
    return invalidField("X-Request-Timeout-Ms",
                        "must be a whole number from 1 to 600000");
  Event.m_Service = Parts[1];
  Event.m_Method = Request.m_Method;
  const size_t PrefixLength =
      std::string_view("/services/").size() + Parts[1].size();
  Event.m_Path = Request.target().substr(PrefixLength);
  if (Event.m_Path.empty() || Event.m_Path.front() != '/')
    Event.m_Path.insert(0, "/");
  Event.m_Body = std::move(Request.m_Body);
  return Event;
}

net::HttpResponse renderAnswer(route::AnswerAction Answer) {
  net::HttpResponse Response;
  if (Answer.m_Outcome == wire::Outcome::COMPLETED) {
    // A stored response that was too large to keep has no status, but the
    // request is known to have completed.
    Response.m_Status = Answer.m_Status >= 200 && Answer.m_Status <= 599
                            ? Answer.m_Status
                            : 200;
    Response.m_ContentType = Answer.m_ContentType.empty()
                                 ? "application/octet-stream"
                                 : Answer.m_ContentType;
    Response.m_Body = std::move(Answer.m_Body);
  } else {
    Response = net::makeHttpError(504, "outcome-unknown",
                                  "it is not known whether the request ran: " +
                                      Answer.m_Reason);
  }
  setOutcome(Response, Answer.m_Outcome);
  if (Answer.m_Replayed)
    Response.m_Fields.push_back({"Anvil-Replayed", "true"});
  return Response;
}

net::HttpResponse renderRefusal(const route::RefuseAction &Refusal) {
  const route::RefusalText &Text = route::refusalText(Refusal.m_Reason);
  std::string Message(Text.m_Message);
  if (!Refusal.m_Detail.empty())
    Message += ": " + Refusal.m_Detail;
  net::HttpResponse Response =
      net::makeHttpError(Text.m_Status, Text.m_Code, Message, Text.m_Field);
  setOutcome(Response, wire::Outcome::NOT_RUN);
  if (Refusal.m_RetryAfter)
    setRetryAfter(Response, *Refusal.m_RetryAfter);
  return Response;
}

} // namespace anvil::entry
