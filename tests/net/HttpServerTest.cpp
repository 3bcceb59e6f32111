#include "anvil/net/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against a server that claims to listen on an address it could not bind.
BOOST_AUTO_TEST_CASE(RefusesAnAddressInUse) {
  boost::asio::io_context Io;
  const auto Ignore = [](anvil::net::HttpRequest, const anvil::net::HttpResponder &) {};
  const auto First = anvil::net::HttpServer::create(Io, {"127.0.0.1", 0}, {}, Ignore);
  BOOST_REQUIRE_MESSAGE(First.ok(), First.status());

  const auto Second = anvil::net::HttpServer::create(Io, (*First)->endpoint(), {}, Ignore);

  BOOST_TEST((anvil::layerErrorOf<anvil::net::HttpErrc>(Second.status()) == anvil::net::HttpErrc::Listen));
}

BOOST_AUTO_TEST_SUITE_END()
