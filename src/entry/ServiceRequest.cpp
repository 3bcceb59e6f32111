#include "ServiceRequest.h"

#include "absl/strings/numbers.h"

#include "HttpText.h"
#include "anvil/base/Port.h"

namespace anvil::entry {

namespace {

constexpr size_t MaxRequestIdLength = 128;
constexpr int64_t MaxTimeoutMs = 600000;

net::HttpResponse badField(std::string_view Field, std::string_view Message) {
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

/// Where one header goes.
struct HeaderTarget {
  std::string_view m_Name;
  std::string &m_Value;
};

} // namespace

std::variant<std::string, net::HttpResponse>
readRequestId(const net::HttpRequest &Request) {
  std::string Id;
  if (!singleField(Request, RequestIdField, Id) ||
      (!Id.empty() && !isToken(Id, MaxRequestIdLength)))
    return badField(RequestIdField,
                    "must appear once and have up to 128 visible characters");
  return Id;
}

std::variant<route::RequestArrived, net::HttpResponse>
readServiceRequest(net::HttpRequest Request) {
  const std::vector<std::string_view> Parts = splitPath(Request.m_Path);
  if (Parts.size() < 2 || !isName(Parts[1]))
    return badField("service", "the path must be /services/{service}/{path}");
  route::RequestArrived Call;
  std::string Timeout;
  const HeaderTarget Headers[] = {{"Anvil-Workspace", Call.m_Workspace},
                                  {"Anvil-Class", Call.m_Class},
                                  {"Idempotency-Key", Call.m_Key},
                                  {"X-Request-Timeout-Ms", Timeout},
                                  {"Content-Type", Call.m_ContentType}};
  for (const HeaderTarget &Each : Headers) {
    if (!singleField(Request, Each.m_Name, Each.m_Value))
      return badField(Each.m_Name, "must not appear twice");
  }
  if (!readTimeout(Timeout, Call.m_Timeout))
    return badField("X-Request-Timeout-Ms",
                    "must be a whole number from 1 to 600000");
  Call.m_Service = Parts[1];
  Call.m_Method = Request.m_Method;
  const size_t PrefixLength =
      std::string_view("/services/").size() + Parts[1].size();
  Call.m_Path = Request.target().substr(PrefixLength);
  if (Call.m_Path.empty() || Call.m_Path.front() != '/')
    Call.m_Path.insert(0, "/");
  Call.m_Body = std::move(Request.m_Body);
  return Call;
}

net::HttpResponse renderAnswer(route::AnswerAction Answer) {
  net::HttpResponse Response;
  if (Answer.m_Outcome == wire::Outcome::COMPLETED) {
    // A stored response without a status was too large to keep; that the
    // request completed is still known.
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
