anvil_module(replica LINK anvil_base anvil_raft anvil_store glog::glog)
