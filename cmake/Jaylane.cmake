# Functions that declare the packages under packages/ with their tests and benchmarks.

set(JAYLANE_PACKAGE_ORDER base settings policy gateway platform peer proxy entry ctl testing)
# rapidcheck uses a random seed by default; a fixed one makes CI runs reproducible.
set(JAYLANE_RC_PARAMS "seed=20261204 max_success=500" CACHE STRING "rapidcheck parameters for tests")

# jaylane_package(<name> SOURCES ... DEPENDS <package>... LIBRARIES <target>...)
# Declares the static library jaylane_<name>. DEPENDS may only name packages that come before it
# in JAYLANE_PACKAGE_ORDER.
function(jaylane_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  list(FIND JAYLANE_PACKAGE_ORDER ${name} own_index)
  foreach(dependency ${ARG_DEPENDS})
    list(FIND JAYLANE_PACKAGE_ORDER ${dependency} index)
    if(index EQUAL -1 OR NOT index LESS own_index)
      message(FATAL_ERROR "package ${name} must not depend on ${dependency}")
    endif()
    list(APPEND packages jaylane_${dependency})
  endforeach()
  add_library(jaylane_${name} STATIC ${ARG_SOURCES})
  target_include_directories(jaylane_${name} PUBLIC include PRIVATE src)
  target_link_libraries(jaylane_${name} PUBLIC ${packages} ${ARG_LIBRARIES} Threads::Threads)
endfunction()

# jaylane_tests(<package> SOURCES ... [LIBRARIES ...] [TIMEOUT seconds])
# Declares the test program <package>_tests, which runs as one ctest test with a fixed rapidcheck seed.
# TIMEOUT is 120 seconds by default.
function(jaylane_tests name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LIBRARIES" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  if(JAYLANE_DEPLOY)
    return()
  endif()
  add_executable(${name}_tests ${ARG_SOURCES})
  target_include_directories(${name}_tests PRIVATE src tests)
  target_link_libraries(${name}_tests PRIVATE jaylane_${name} ${ARG_LIBRARIES}
                        ${RAPIDCHECK_LIBRARY} GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name}_tests)
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
                       ENVIRONMENT "RC_PARAMS=${JAYLANE_RC_PARAMS}")
endfunction()

# jaylane_bench(<package> SOURCES ... [LIBRARIES ...])
# Declares the Google Benchmark program <package>_bench, which `make bench` runs.
function(jaylane_bench name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  if(JAYLANE_DEPLOY)
    return()
  endif()
  add_executable(${name}_bench ${ARG_SOURCES})
  target_include_directories(${name}_bench PRIVATE src)
  target_link_libraries(${name}_bench PRIVATE jaylane_${name} ${ARG_LIBRARIES}
                        benchmark::benchmark_main benchmark::benchmark)
endfunction()
