anvil_module(chart LINK anvil_base absl::status absl::statusor absl::strings yaml-cpp)

# The charts become part of the program, so that all replicas of one version run the same charts.
file(GLOB ChartFiles CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/charts/*.yaml)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${ChartFiles})
set(ANVIL_CHART_CASES "")
foreach(ChartFile ${ChartFiles})
  get_filename_component(ChartName ${ChartFile} NAME_WE)
  file(READ ${ChartFile} ChartText)
  string(APPEND ANVIL_CHART_CASES "  if (Name == \"${ChartName}\")\n    return R\"chart(${ChartText})chart\";\n")
endforeach()
configure_file(${CMAKE_SOURCE_DIR}/cmake/templates/EmbeddedCharts.cpp.in
               ${CMAKE_BINARY_DIR}/generated/EmbeddedCharts.cpp @ONLY)
target_sources(anvil_chart PRIVATE ${CMAKE_BINARY_DIR}/generated/EmbeddedCharts.cpp)

anvil_test(chart LINK anvil_chart)
