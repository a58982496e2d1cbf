# Libraries, all from Debian's packages; .ci/packages.txt lists the packages.

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(cxxopts REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(spdlog REQUIRED)
find_package(yaml-cpp REQUIRED)

# The programs link everything but the C library statically, so that one that
# was built runs on a machine without these packages, or with other versions of
# them, and the dynamic linker has little to do before the program runs.
add_link_options(-static-libstdc++ -static-libgcc)

# heather_use_archive(TARGET PROPERTY): has an imported target name its archive
# in place of its shared library.
function(heather_use_archive target property)
  get_target_property(library ${target} ${property})
  string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${library}")
  if(EXISTS "${archive}")
    set_target_properties(${target} PROPERTIES ${property} "${archive}")
  endif()
endfunction()

get_property(imported_targets DIRECTORY PROPERTY IMPORTED_TARGETS)
list(FILTER imported_targets INCLUDE REGEX "^absl::")
foreach(target IN LISTS imported_targets)
  heather_use_archive(${target} IMPORTED_LOCATION_NONE)
endforeach()
heather_use_archive(yaml-cpp IMPORTED_LOCATION_NONE)

pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
heather_use_archive(PkgConfig::xxhash INTERFACE_LINK_LIBRARIES)

# Debian has no archives of spdlog and fmt.
set_target_properties(spdlog::spdlog_header_only PROPERTIES
  INTERFACE_LINK_LIBRARIES "Threads::Threads;fmt::fmt-header-only")

# Debian's package has neither a CMake nor a pkg-config file.
find_library(HTTP_PARSER_LIBRARY NAMES libhttp_parser.a http_parser REQUIRED)
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
