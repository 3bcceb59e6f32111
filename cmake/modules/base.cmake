anvil_module(base LINK absl::status absl::statusor absl::strings)
anvil_test(base LINK anvil_base)
