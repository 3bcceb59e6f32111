anvil_module(control LINK anvil_base anvil_replica anvil_net anvil_raft anvil_store anvil_state anvil_sched anvil_member
             anvil_timeline anvil_daemon glog::glog Boost::json)
add_executable(anvil-control daemons/ControlMain.cpp)
target_link_libraries(anvil-control PRIVATE anvil_control)

anvil_test(control LINK anvil_control)
target_sources(control_tests PRIVATE ${CMAKE_SOURCE_DIR}/tests/store/FakeFileSystem.cpp)

# Prints the cost of the log and of a restart. It is not a test, since its results depend on the clock.
add_executable(control_measure tests/measure/ControlMeasure.cpp)
target_link_libraries(control_measure PRIVATE anvil_net anvil_state anvil_store)
