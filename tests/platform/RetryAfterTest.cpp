#include <string>

#include <boost/test/unit_test.hpp>

#include "CallerApi.h"

namespace anvil::platform {
namespace {

using std::chrono::milliseconds;

/// Returns the header Retry-After of a response to a refusal, or "".
std::string retryAfterOf(wire::WorkloadStatus::type Status,
                         Duration RetryAfter) {
  node::CallResult Result;
  Result.m_Status = Status;
  Result.m_RetryAfter = RetryAfter;
  const net::HttpResponse Response = errorResponse(Result);
  for (const auto &[Name, Value] : Response.m_Fields)
    if (Name == "Retry-After")
      return Value;
  return "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryAfterTest)

// Guards against callers that return before the time that they were told to
// wait, or at once.
BOOST_AUTO_TEST_CASE(RoundsTheTimeToRetryUpToWholeSeconds) {
  const auto Overloaded = wire::WorkloadStatus::OVERLOADED;
  BOOST_TEST(retryAfterOf(Overloaded, milliseconds(1)) == "1");
  BOOST_TEST(retryAfterOf(Overloaded, milliseconds(1000)) == "1");
  BOOST_TEST(retryAfterOf(Overloaded, milliseconds(1001)) == "2");
  BOOST_TEST(retryAfterOf(Overloaded, milliseconds(44'999)) == "45");
}

// Guards against a refusal without a time to retry if the leader gave none, as
// a leader of an earlier version does.
BOOST_AUTO_TEST_CASE(AsksForOneSecondIfNoTimeIsGiven) {
  BOOST_TEST(retryAfterOf(wire::WorkloadStatus::OVERLOADED, Duration(0)) ==
             "1");
  BOOST_TEST(retryAfterOf(wire::WorkloadStatus::NOT_READY, Duration(0)) == "1");
  BOOST_TEST(retryAfterOf(wire::WorkloadStatus::INVALID, Duration(0)) == "");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::platform
