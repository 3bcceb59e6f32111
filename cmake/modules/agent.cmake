anvil_module(agent LINK anvil_base anvil_wire absl::strings)
anvil_test(agent LINK anvil_agent)
