# One place for the compiler settings and for the shape of a library of the workspace.

add_library(almondridge_options INTERFACE)
target_compile_options(almondridge_options INTERFACE
  -Wall -Wextra -Wpedantic -Werror -Wnon-virtual-dtor -Woverloaded-virtual -Wno-psabi)
# GCC 12 reports these two inside its own std::string for plain concatenations (GCC bugs 105329
# and 105651); they say nothing about our code.
target_compile_options(almondridge_options INTERFACE
  $<$<CXX_COMPILER_ID:GNU>:-Wno-array-bounds -Wno-restrict>)
target_compile_definitions(almondridge_options INTERFACE
  SPDLOG_FMT_EXTERNAL ALMONDRIDGE_VERSION="${PROJECT_VERSION}")
if(ALMONDRIDGE_SANITIZE)
  target_compile_options(almondridge_options INTERFACE
    -fsanitize=${ALMONDRIDGE_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all -O1
    # GCC's flow warnings are unreliable on instrumented code; the plain build has them as errors.
    -Wno-error)
  target_link_options(almondridge_options INTERFACE -fsanitize=${ALMONDRIDGE_SANITIZE})
  if(ALMONDRIDGE_SANITIZE STREQUAL "thread")
    target_compile_options(almondridge_options INTERFACE -Wno-tsan)
  endif()
endif()

# One precompiled header for all targets: most of a compilation is spent on these libraries.
# Sources still include what they use, so the build also works without it.
file(WRITE ${PROJECT_BINARY_DIR}/precompiled.cpp "")
add_library(almondridge_precompiled OBJECT ${PROJECT_BINARY_DIR}/precompiled.cpp)
target_link_libraries(almondridge_precompiled PRIVATE almondridge_options Threads::Threads
  spdlog::spdlog fmt)
target_precompile_headers(almondridge_precompiled PRIVATE
  <boost/leaf.hpp> <nlohmann/json.hpp> <algorithm> <array> <chrono> <condition_variable> <deque>
  <functional> <map> <memory> <mutex> <optional> <set> <string> <string_view> <thread>
  <unordered_map> <variant> <vector>)

# The linter is a clang and cannot read GCC's precompiled headers: it gets a build without them.
option(ALMONDRIDGE_PRECOMPILE "Use a precompiled header" ON)

function(almondridge_precompile target)
  if(ALMONDRIDGE_PRECOMPILE)
    target_precompile_headers(${target} REUSE_FROM almondridge_precompiled)
  endif()
endfunction()

# almondridge_library(NAME [DEPENDS lib...] [LINK target...])
# Builds libs/NAME/src/*.cpp as almondridge_NAME, and libs/NAME/tests/*.cpp as test_NAME.
function(almondridge_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(almondridge_${name} STATIC ${sources})
  target_include_directories(almondridge_${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(almondridge_${name} PUBLIC almondridge_options Threads::Threads)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(almondridge_${name} PUBLIC almondridge_${dependency})
  endforeach()
  target_link_libraries(almondridge_${name} PUBLIC ${ARG_LINK} spdlog::spdlog fmt)
  almondridge_precompile(almondridge_${name})
  almondridge_test(${name} ${CMAKE_CURRENT_SOURCE_DIR}/tests almondridge_${name})
endfunction()

# almondridge_test(NAME DIRECTORY library...): one Boost.Test program of all DIRECTORY/*.cpp.
function(almondridge_test name directory)
  if(NOT ALMONDRIDGE_TESTS)
    return()
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${directory}/*.cpp)
  if(NOT tests)
    return()
  endif()
  add_executable(test_${name} ${tests} ${PROJECT_SOURCE_DIR}/tests/main.cc)
  set_source_files_properties(${PROJECT_SOURCE_DIR}/tests/main.cc PROPERTIES LANGUAGE CXX)
  target_compile_definitions(test_${name} PRIVATE BOOST_TEST_DYN_LINK
    ALMONDRIDGE_SOURCE_DIR="${PROJECT_SOURCE_DIR}" ALMONDRIDGE_BINARY_DIR="${PROJECT_BINARY_DIR}")
  target_link_libraries(test_${name} PRIVATE ${ARGN} boost_unit_test_framework)
  almondridge_precompile(test_${name})
  set_target_properties(test_${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)
endfunction()
