anvil_module(dispatch LINK anvil_base anvil_workload absl::status absl::statusor absl::strings)
