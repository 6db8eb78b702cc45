# Defines cowsliprock_library and cowsliprock_test, used by every library folder.

# cowsliprock_library(<name> [DEPENDS <libraries>...])
# Builds src/*.cpp with include/ as the public include directory. It is an object library, so that
# the static registrars of stages and policies are always linked.
function(cowsliprock_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_library(${name}_objects OBJECT ${sources})
    target_include_directories(${name}_objects PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                               PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    add_library(${name} INTERFACE)
    target_sources(${name} INTERFACE $<TARGET_OBJECTS:${name}_objects>)
    target_include_directories(${name} INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(${name} INTERFACE ${ARG_DEPENDS})
    foreach(dependency IN LISTS ARG_DEPENDS)
        if(TARGET ${dependency}_objects)
            target_link_libraries(${name}_objects PUBLIC ${dependency}_headers)
        else()
            target_link_libraries(${name}_objects PUBLIC ${dependency})
        endif()
    endforeach()
    # Headers and external libraries without the object files.
    add_library(${name}_headers INTERFACE)
    target_include_directories(${name}_headers INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
    foreach(dependency IN LISTS ARG_DEPENDS)
        if(TARGET ${dependency}_objects)
            target_link_libraries(${name}_headers INTERFACE ${dependency}_headers)
        else()
            target_link_libraries(${name}_headers INTERFACE ${dependency})
        endif()
    endforeach()
endfunction()

# cowsliprock_test(<name> SOURCES <files>... DEPENDS <libraries>...)
function(cowsliprock_test name)
    if(COWSLIPROCK_CELL_ONLY)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK COWSLIPROCK_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    # Exactly one file of a Boost.Test program defines the module.
    list(GET ARG_SOURCES 0 main_source)
    set_source_files_properties(${main_source} PROPERTIES COMPILE_DEFINITIONS
                                BOOST_TEST_MODULE=${name})
    add_test(NAME ${name} COMMAND ${name})
    # Ends a test that hangs; far above the slowest run under a sanitizer.
    set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()

# cowsliprock_fuzzer(<name> SOURCES <files>... DEPENDS <libraries>...)
# A libFuzzer target, built only with COWSLIPROCK_FUZZERS. Needs clang and, for coverage of the
# libraries, their objects with fuzzer-no-link:
# cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCOWSLIPROCK_FUZZERS=ON
#       -DCOWSLIPROCK_BENCHMARKS=OFF -DCOWSLIPROCK_SANITIZERS=fuzzer-no-link,address,undefined
function(cowsliprock_fuzzer name)
    if(NOT COWSLIPROCK_FUZZERS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
endfunction()
