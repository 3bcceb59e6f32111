anvil_module(raft LINK anvil_base absl::status absl::statusor absl::strings)

# The simulator is shared by the tests and by the explorer program for long runs.
file(GLOB RaftSimulatorSources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/raft/support/*.cpp)
add_library(raft_simulator STATIC ${RaftSimulatorSources})
target_include_directories(raft_simulator PUBLIC ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(raft_simulator PUBLIC anvil_raft)

add_executable(raft_explorer ${CMAKE_SOURCE_DIR}/tests/raft/explorer/ExplorerMain.cpp)
target_link_libraries(raft_explorer PRIVATE raft_simulator cxxopts::cxxopts)

anvil_test(raft LINK raft_simulator)
