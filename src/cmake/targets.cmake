# Helpers that declare the project's programs and unit tests.

if(HEATHER_TESTS)
  include(GoogleTest)
endif()

# heather_add_program(NAME): a program from every source in the current folder
# but for the unit tests.
function(heather_add_program name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cc")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/src")
  target_link_libraries(${name} PRIVATE heathernet cxxopts::cxxopts)
  target_compile_definitions(${name} PRIVATE HEATHER_VERSION="${PROJECT_VERSION}")
endfunction()

# heather_add_unit_tests(NAME LIBRARY...): one test program from every
# *_test.cc in the current folder.
function(heather_add_unit_tests name)
  file(GLOB sources CONFIGURE_DEPENDS "*_test.cc")
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/src")
  target_link_libraries(${name} PRIVATE ${ARGN} GTest::gtest GTest::gmock GTest::gtest_main rapidcheck)
  target_precompile_headers(${name} PRIVATE <gtest/gtest.h>)
  target_compile_definitions(${name} PRIVATE HEATHER_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  # One seed for all properties, so that a run tells the same as the one before.
  # A program started by hand takes a fresh seed.
  gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST
    PROPERTIES TIMEOUT 120 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
