add_library(anvil_records STATIC gen/state_types.cpp gen/state_constants.cpp)
target_link_libraries(anvil_records PUBLIC anvil_wire)
target_compile_options(anvil_records PRIVATE -w)

anvil_module(state LINK anvil_base anvil_chart anvil_config anvil_records absl::status absl::statusor absl::strings
             Boost::json xxhash)
anvil_test(state LINK anvil_state)

# Prints cost and size at the sizes of the design page. Reads a clock, so it is not a test.
add_executable(state_measure tests/measure/StateMeasure.cpp)
target_link_libraries(state_measure PRIVATE anvil_state)
