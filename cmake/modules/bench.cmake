# Measures the scheduler; run by tools/bench, not by the tests.
file(GLOB BenchSources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*.cpp)
add_executable(anvil_bench ${BenchSources})
target_link_libraries(anvil_bench PRIVATE anvil_sched absl::str_format Boost::json)
