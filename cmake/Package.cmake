# Warnings for first-party code; generated and third-party code is built without them.
# Designated initialisers leave out members on purpose, which GCC 12 reports where a member has no initialiser of its own.
set(SISKINSPREAD_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion
  -Wno-missing-field-initializers)

if(SISKINSPREAD_TESTS)
  add_library(siskinspread_test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp)
endif()

# What the sanitizer runs of .ci/run build: all test programs, and those that start threads or processes that do.
add_custom_target(test_programs)
add_custom_target(concurrent_test_programs)

# siskinspread_package(NAME [LINK targets...])
#
# Builds siskinspread_NAME from src/*.cpp with the public headers in include/, and, where tests/*Test.cpp exist, the
# test program NAME_tests. A test file whose name ends in ThreadTest.cpp starts threads: it goes to NAME_thread_tests,
# labelled "threads", which CI also runs under ThreadSanitizer. Other files in tests/ go into both.
function(siskinspread_package NAME)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  set(target siskinspread_${NAME})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC include PRIVATE src)
    target_link_libraries(${target} PUBLIC ${ARG_LINK})
    target_compile_options(${target} PRIVATE ${SISKINSPREAD_WARNINGS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE include)
    target_link_libraries(${target} INTERFACE ${ARG_LINK})
  endif()

  if(NOT SISKINSPREAD_TESTS)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS tests/*Test.cpp)
  set(thread_tests ${tests})
  list(FILTER tests EXCLUDE REGEX "ThreadTest\\.cpp$")
  list(FILTER thread_tests INCLUDE REGEX "ThreadTest\\.cpp$")
  file(GLOB test_support CONFIGURE_DEPENDS tests/*.cpp)
  list(FILTER test_support EXCLUDE REGEX "Test\\.cpp$")
  if(tests)
    siskinspread_test_program(${NAME}_tests "" ${target} ${tests} ${test_support})
  endif()
  if(thread_tests)
    siskinspread_test_program(${NAME}_thread_tests "threads" ${target} ${thread_tests} ${test_support})
  endif()
endfunction()

# Sets RESULT to the option that leaves the cases that KNOWN-RED.txt names for the program out of its verdict.
function(siskinspread_known_red NAME RESULT)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt entries REGEX "^${NAME} \\| ")
  set(patterns "")
  foreach(entry ${entries})
    string(REGEX REPLACE "^[^|]*\\| ([^|]*) \\|.*" "\\1" pattern "${entry}")
    list(APPEND patterns "${pattern}")
  endforeach()
  list(JOIN patterns "," joined)
  set(${RESULT} "" PARENT_SCOPE)
  if(joined)
    set(${RESULT} "--test-case-exclude=${joined}" PARENT_SCOPE)
  endif()
endfunction()

# siskinspread_add_test(NAME PROGRAM LABEL [options of the program...])
function(siskinspread_add_test NAME PROGRAM LABEL)
  siskinspread_known_red(${PROGRAM} known_red)
  add_test(NAME ${NAME} COMMAND ${PROGRAM} ${known_red} ${ARGN})
  set_tests_properties(${NAME} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=1 max_success=1000;TSAN_OPTIONS=halt_on_error=1" LABELS "${LABEL}" TIMEOUT 600)
  if(NOT NAME STREQUAL PROGRAM)
    set_tests_properties(${NAME} PROPERTIES COST 1) # long, so it starts before the others
  endif()
endfunction()

# siskinspread_test_program(NAME LABEL LIBRARY [PARTS number] sources...): with PARTS the cases of one program run side by
# side as tests of their own, NAME_1, NAME_2 and so on; the last one has all cases that are left.
function(siskinspread_test_program NAME LABEL LIBRARY)
  cmake_parse_arguments(ARG "" "PARTS" "" ${ARGN})
  add_executable(${NAME} ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(${NAME} PRIVATE ${LIBRARY} siskinspread_test_main ${RAPIDCHECK_LIBRARY})
  target_compile_options(${NAME} PRIVATE ${SISKINSPREAD_WARNINGS})
  add_dependencies(test_programs ${NAME})
  if(LABEL)
    add_dependencies(concurrent_test_programs ${NAME})
  endif()
  if(NOT ARG_PARTS)
    siskinspread_add_test(${NAME} ${NAME} "${LABEL}")
    return()
  endif()
  math(EXPR before_last "${ARG_PARTS} - 1")
  foreach(part RANGE 1 ${before_last})
    siskinspread_add_test(${NAME}_${part} ${NAME} "${LABEL}" --first=${part} --last=${part})
  endforeach()
  siskinspread_add_test(${NAME}_${ARG_PARTS} ${NAME} "${LABEL}" --first=${ARG_PARTS})
endfunction()
