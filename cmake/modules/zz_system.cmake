# Tests with real processes on loopback: tests/system/<name>_test.py.
foreach(Name failover agent_fault zone config gang shutdown replace_control backup disk operations lost_tail explain)
  add_test(NAME system_${Name}
           COMMAND python3 -B ${CMAKE_SOURCE_DIR}/tests/system/${Name}_test.py ${CMAKE_BINARY_DIR}
                   ${CMAKE_BINARY_DIR}/system/${Name})
  set_tests_properties(system_${Name} PROPERTIES TIMEOUT 240 LABELS system)
endforeach()
# A short run of the fault soak; docs/PROOFS.md describes the long ones.
add_test(NAME system_soak
         COMMAND python3 -B ${CMAKE_SOURCE_DIR}/tests/soak/soak.py $<TARGET_FILE:anvilwheel>
                 ${CMAKE_BINARY_DIR}/system/soak --seed 1 --seeds 3 --jobs 3
                 --seed-file ${CMAKE_SOURCE_DIR}/tests/soak/regressions.txt)
set_tests_properties(system_soak PROPERTIES TIMEOUT 240 LABELS system)
