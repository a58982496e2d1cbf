# Libraries, all from Debian's packages; .ci/packages.txt lists the packages.

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(cxxopts REQUIRED)
find_package(GTest REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(rapidcheck REQUIRED)
find_package(spdlog REQUIRED)
find_package(yaml-cpp REQUIRED)

pkg_check_modules(httplib REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(nghttp2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
