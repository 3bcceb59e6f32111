anvil_module(runner LINK anvil_base anvil_wire absl::status absl::statusor)
