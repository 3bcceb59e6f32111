// The one Boost.Test entry point, linked into every test program.
#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE anvilwheel
#include <boost/test/unit_test.hpp>
