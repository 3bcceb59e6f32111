anvil_module(ctl LINK anvil_base anvil_net anvil_config anvil_timeline Boost::json)
add_executable(anvilctl daemons/CtlMain.cpp)
target_link_libraries(anvilctl PRIVATE anvil_ctl anvil_daemon)
anvil_test(ctl LINK anvil_ctl)
