anvil_module(runner LINK anvil_base anvil_wire absl::status absl::statusor)
anvil_test(runner LINK anvil_runner)
