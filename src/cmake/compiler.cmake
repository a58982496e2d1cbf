# Language level, warnings and sanitizers, for every target of the project.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")

set(HEATHER_SANITIZE "" CACHE STRING "Sanitizers to build with, such as address,undefined")

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow)
# Another compiler may warn of more, which must not stop the build of those who
# only run the program.
if(HEATHER_TESTS)
  add_compile_options(-Werror)
endif()

# g++ 12 takes moved-from nlohmann::json values for uninitialized ones, and
# warns of overlapping copies in std::string's operator+.
add_compile_options($<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
add_compile_options($<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)

# ccache needs this to reuse objects that include a precompiled header.
add_compile_options($<$<CXX_COMPILER_ID:GNU>:-fpch-preprocess>)

if(HEATHER_SANITIZE)
  add_compile_options(-fsanitize=${HEATHER_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${HEATHER_SANITIZE})
  # Asio's fences are known to be beyond g++'s thread sanitizer.
  add_compile_options($<$<CXX_COMPILER_ID:GNU>:-Wno-tsan>)
endif()
