#include "entry/OperatorApi.h"

#include <boost/test/unit_test.hpp>

namespace anvil::entry {
namespace {

net::HttpRequest zoneOrder(bool CallerWaits) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/v1/zones/north/restore";
  Request.m_Fields = {{"Anvil-Operator", "alice"}};
  Request.m_CallerWaits = [CallerWaits] { return CallerWaits; };
  return Request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorApiTest)

// Guards against an order on a zone that takes effect when a frozen process
// wakes, after its operator gave it up and sent newer ones elsewhere.
BOOST_AUTO_TEST_CASE(CarriesOutAZoneOrderOnlyForACallerThatWaits) {
  const OperatorCall Waiting = readOperatorRequest(zoneOrder(true), "t", 0);
  BOOST_TEST(std::holds_alternative<CommandCall>(Waiting));
  const OperatorCall Gone = readOperatorRequest(zoneOrder(false), "t", 0);
  const auto *Response = std::get_if<net::HttpResponse>(&Gone);
  BOOST_REQUIRE(Response);
  BOOST_TEST(Response->m_Status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::entry
