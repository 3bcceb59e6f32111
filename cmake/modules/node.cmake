anvil_module(node LINK anvil_base anvil_net anvil_log anvil_replica anvil_raft anvil_store anvil_workload
             anvil_dispatch anvil_runner anvil_metrics anvil_daemon absl::status absl::statusor)
anvil_test(node LINK anvil_node)
