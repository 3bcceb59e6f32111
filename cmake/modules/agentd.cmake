anvil_module(agentd LINK anvil_agent anvil_net anvil_daemon anvil_base anvil_timeline glog::glog)
add_executable(anvil-agent daemons/AgentMain.cpp)
target_link_libraries(anvil-agent PRIVATE anvil_agentd)
anvil_test(agentd LINK anvil_agentd anvil_fakes)
