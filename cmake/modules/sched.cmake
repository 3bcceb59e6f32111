anvil_module(sched LINK anvil_base absl::status absl::statusor absl::strings absl::flat_hash_map absl::flat_hash_set)
anvil_test(sched LINK anvil_sched)
