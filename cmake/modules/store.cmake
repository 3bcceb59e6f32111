pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
anvil_module(store LINK anvil_base anvil_raft PkgConfig::xxhash)
anvil_test(store LINK anvil_store)
