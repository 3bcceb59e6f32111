anvil_module(log LINK anvil_base Boost::json)
anvil_test(log LINK anvil_log)
