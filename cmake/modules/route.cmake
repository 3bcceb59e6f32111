anvil_module(route LINK anvil_base anvil_wire xxhash)
anvil_test(route LINK anvil_route)
