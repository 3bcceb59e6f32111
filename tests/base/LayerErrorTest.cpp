#include "anvil/base/LayerError.h"

#include <boost/test/unit_test.hpp>

namespace {
enum class DiskErrc { Full = 1, Torn = 2 };
enum class LinkErrc { Down = 1 };
} // namespace

template <> struct anvil::LayerErrorTraits<DiskErrc> {
  static constexpr std::string_view Layer = "disk";
};
template <> struct anvil::LayerErrorTraits<LinkErrc> {
  static constexpr std::string_view Layer = "link";
};

BOOST_AUTO_TEST_SUITE(LayerErrorTest)

// Guards against a layer reading the code of another layer as its own.
BOOST_AUTO_TEST_CASE(ReturnsTheCodeOnlyForItsOwnLayer) {
  const absl::Status Status =
      anvil::makeLayerError(absl::StatusCode::kResourceExhausted,
                            DiskErrc::Full, "no space on /data");

  BOOST_TEST(Status.message() == "disk: no space on /data");
  BOOST_TEST((anvil::layerErrorOf<DiskErrc>(Status) == DiskErrc::Full));
  BOOST_TEST(!anvil::layerErrorOf<LinkErrc>(Status).has_value());
}

// Guards against a status without a layer code being taken for a layer error.
BOOST_AUTO_TEST_CASE(PlainStatusHasNoLayerCode) {
  BOOST_TEST(
      !anvil::layerErrorOf<DiskErrc>(absl::InternalError("other")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
