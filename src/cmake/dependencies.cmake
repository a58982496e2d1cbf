# Libraries, all from Debian's packages; .ci/packages.txt lists the packages.

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(cxxopts REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(spdlog REQUIRED)
find_package(yaml-cpp REQUIRED)

# Abseil's archives in place of its two dozen shared libraries, which the dynamic
# linker would load at every start.
get_property(imported_targets DIRECTORY PROPERTY IMPORTED_TARGETS)
list(FILTER imported_targets INCLUDE REGEX "^absl::")
foreach(target IN LISTS imported_targets)
  get_target_property(library ${target} IMPORTED_LOCATION_NONE)
  string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${library}")
  if(EXISTS "${archive}")
    set_target_properties(${target} PROPERTIES IMPORTED_LOCATION_NONE "${archive}")
  endif()
endforeach()

pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)

# Debian's package has neither a CMake nor a pkg-config file.
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_path(HTTP_PARSER_INCLUDE_DIR http_parser.h REQUIRED)
add_library(http_parser UNKNOWN IMPORTED)
set_target_properties(http_parser PROPERTIES
  IMPORTED_LOCATION "${HTTP_PARSER_LIBRARY}"
  INTERFACE_INCLUDE_DIRECTORIES "${HTTP_PARSER_INCLUDE_DIR}")

if(NOT HEATHER_PLATFORM_ONLY)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
  pkg_check_modules(httplib REQUIRED IMPORTED_TARGET cpp-httplib)
  pkg_check_modules(nghttp2 REQUIRED IMPORTED_TARGET libnghttp2)
  pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
endif()
