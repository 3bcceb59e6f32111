anvil_module(daemon LINK anvil_net anvil_base cxxopts::cxxopts glog::glog Threads::Threads)
anvil_test(daemon LINK anvil_daemon)
