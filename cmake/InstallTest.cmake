# Installs to a temporary directory and runs both binaries there. Guards against an installation that
# lacks files or needs the source tree.
#   cmake -DBUILD_DIR=<build> -P InstallTest.cmake

set(root ${BUILD_DIR}/install-test)
file(REMOVE_RECURSE ${root})

function(run expected)
  execute_process(COMMAND ${ARGN} WORKING_DIRECTORY ${root} RESULT_VARIABLE code
                  OUTPUT_VARIABLE output ERROR_VARIABLE output)
  if(NOT code EQUAL expected)
    message(FATAL_ERROR "${ARGN}: exit code ${code} instead of ${expected}\n${output}")
  endif()
endfunction()

file(MAKE_DIRECTORY ${root})
run(0 ${CMAKE_COMMAND} --install ${BUILD_DIR} --prefix ${root})
set(documents share/doc/jaylane)
foreach(deployment inyenyeri hormas)
  set(example ${documents}/examples/${deployment})
  run(0 ${root}/bin/jaylane-entry --settings=${example}/vm.yaml --check)
  run(0 ${root}/bin/jaylanectl --check ${example}/vm.yaml)
  run(0 ${root}/bin/jaylanectl --check ${example}/tree.yaml)
endforeach()
# A settings tree must be rejected as a VM settings file.
run(2 ${root}/bin/jaylane-entry --settings=${documents}/examples/inyenyeri/tree.yaml --check)
foreach(file README.md docs/design.md docs/operators.md docs/settings.md docs/admin-api.md)
  if(NOT EXISTS ${root}/${documents}/${file})
    message(FATAL_ERROR "not installed: ${file}")
  endif()
endforeach()
file(REMOVE_RECURSE ${root})
