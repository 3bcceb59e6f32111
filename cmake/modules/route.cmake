pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
anvil_module(route LINK anvil_base anvil_wire PkgConfig::xxhash)
anvil_test(route LINK anvil_route)
