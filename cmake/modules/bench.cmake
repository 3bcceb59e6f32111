# Benchmark of the scheduler. tools/bench runs it; it is not a test.
file(GLOB BenchSources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*.cpp)
add_executable(anvil_bench ${BenchSources})
target_link_libraries(anvil_bench PRIVATE anvil_sched absl::str_format Boost::json)
