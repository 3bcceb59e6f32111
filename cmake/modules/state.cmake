add_library(anvil_records STATIC gen/state_types.cpp gen/state_constants.cpp)
target_link_libraries(anvil_records PUBLIC anvil_wire)
target_compile_options(anvil_records PRIVATE -w)

anvil_module(state LINK anvil_base anvil_chart anvil_config anvil_records absl::status absl::statusor absl::strings
             Boost::json xxhash)
anvil_test(state LINK anvil_state)

# Prints the cost and size of the state at the sizes that the design page names. It is not a test, since its results
# depend on the clock.
add_executable(state_measure tests/measure/StateMeasure.cpp)
target_link_libraries(state_measure PRIVATE anvil_state)
