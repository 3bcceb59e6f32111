anvil_module(replica LINK anvil_base anvil_raft anvil_store glog::glog)

anvil_test(replica LINK anvil_replica anvil_daemon)
target_sources(replica_tests PRIVATE ${CMAKE_SOURCE_DIR}/tests/store/FakeFileSystem.cpp)
