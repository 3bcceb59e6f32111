anvil_module(entry LINK anvil_daemon anvil_route anvil_metrics anvil_config anvil_timeline anvil_net anvil_base anvil_wire
             Boost::json glog::glog)
anvil_test(entry LINK anvil_entry)
add_executable(anvil-entry ${CMAKE_SOURCE_DIR}/daemons/EntryMain.cpp)
target_link_libraries(anvil-entry PRIVATE anvil_entry)
