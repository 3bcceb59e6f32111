anvil_module(config LINK anvil_base absl::status absl::statusor absl::strings yaml-cpp xxhash)
anvil_test(config LINK anvil_config)
