anvil_module(workload LINK anvil_base anvil_net anvil_wire absl::status absl::statusor absl::strings)
anvil_test(workload LINK anvil_workload)
