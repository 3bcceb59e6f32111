anvil_module(timeline LINK anvil_base Boost::json)
anvil_test(timeline LINK anvil_timeline)
