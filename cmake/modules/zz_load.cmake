# The load generator of tools/bench-routing.
add_executable(anvil_load bench/load/LoadMain.cpp)
target_link_libraries(anvil_load PRIVATE anvil_net anvil_daemon)
