# The adapter to the users' platform. Nothing outside platform/ links it.
file(GLOB PlatformSources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
list(FILTER PlatformSources EXCLUDE REGEX "Main.cpp$")
add_library(anvil_platform STATIC ${PlatformSources})
target_include_directories(anvil_platform PUBLIC ${CMAKE_SOURCE_DIR}/platform)
target_link_libraries(anvil_platform PUBLIC anvil_node anvil_net anvil_workload anvil_log anvil_metrics anvil_daemon Boost::json)
add_executable(anvilwheel platform/Main.cpp)
target_link_libraries(anvilwheel PRIVATE anvil_platform)
anvil_test(platform LINK anvil_platform)
