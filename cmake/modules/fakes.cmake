# Fake HTTP servers, minions and workers for tests, the demo and benchmarks.
add_library(anvil_fakes STATIC fakes/FakeHttpServer.cpp fakes/FakeMinion.cpp fakes/FakeWorker.cpp)
target_include_directories(anvil_fakes PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(anvil_fakes PUBLIC anvil_net Boost::json)
add_executable(anvil-fake-minion fakes/FakeMinionMain.cpp)
target_link_libraries(anvil-fake-minion PRIVATE anvil_fakes anvil_daemon)
add_executable(anvil-fake-worker fakes/FakeWorkerMain.cpp)
target_link_libraries(anvil-fake-worker PRIVATE anvil_fakes anvil_daemon)
