anvil_module(control LINK anvil_base anvil_net anvil_raft anvil_store anvil_state anvil_sched anvil_member
             anvil_timeline anvil_daemon glog::glog Boost::json)
add_executable(anvil-control daemons/ControlMain.cpp)
target_link_libraries(anvil-control PRIVATE anvil_control)
anvil_test(control LINK anvil_control)
