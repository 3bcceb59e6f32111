anvil_module(member LINK anvil_base absl::flat_hash_map)
anvil_test(member LINK anvil_member)
