anvil_module(log LINK anvil_base Boost::json)
