anvil_module(dispatch LINK anvil_base anvil_workload absl::status absl::statusor absl::strings xxhash)

# The simulated deployment is shared by the tests and by the replay program.
file(GLOB DispatchSimSources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/dispatch/sim/*.cpp)
add_library(dispatch_sim STATIC ${DispatchSimSources})
target_include_directories(dispatch_sim PUBLIC ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(dispatch_sim PUBLIC anvil_dispatch anvil_runner)

anvil_test(dispatch LINK dispatch_sim)

# Runs many seeds on request; see docs/PROOFS.md.
add_executable(dispatch_explorer ${CMAKE_SOURCE_DIR}/tests/dispatch/explorer/ExplorerMain.cpp)
target_link_libraries(dispatch_explorer PRIVATE dispatch_sim cxxopts::cxxopts)

# Prints the results that callers get under typical loads; see docs/scheduling.md.
add_executable(dispatch_replay ${CMAKE_SOURCE_DIR}/tests/dispatch/explorer/ReplayMain.cpp)
target_link_libraries(dispatch_replay PRIVATE dispatch_sim cxxopts::cxxopts)
