anvil_module(net LINK anvil_base anvil_wire Boost::json Threads::Threads)
anvil_test(net LINK anvil_net anvil_fakes)
