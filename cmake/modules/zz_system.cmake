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
                 ${CMAKE_BINARY_DIR}/system/soak --seed 1 --seeds 2 --jobs 3
                 --seed-file ${CMAKE_SOURCE_DIR}/tests/soak/regressions.txt)
# Seed 3 has a test of its own, since it is listed in KNOWN-RED.txt.
add_test(NAME system_soak_seed_3
         COMMAND python3 -B ${CMAKE_SOURCE_DIR}/tests/soak/soak.py $<TARGET_FILE:anvilwheel>
                 ${CMAKE_BINARY_DIR}/system/soak --seed 3)
set_tests_properties(system_soak_seed_3 PROPERTIES TIMEOUT 240 LABELS system)
set_tests_properties(system_soak PROPERTIES TIMEOUT 240 LABELS system)
