# Options that every target of this project is built with.
add_library(verbena_options INTERFACE)
target_compile_options(verbena_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow $<$<BOOL:${VERBENA_WARNINGS_END_BUILD}>:-Werror>)
target_include_directories(verbena_options INTERFACE ${CMAKE_SOURCE_DIR}/src/libs)
# With -O3, GCC 12 takes "text" + std::to_string(number) for a copy that overlaps. The other types of build are compiled with this warning.
if(CMAKE_CXX_COMPILER_ID STREQUAL GNU AND CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
    target_compile_options(verbena_options INTERFACE $<$<CONFIG:Release>:-Wno-restrict>)
endif()
if(VERBENA_SANITIZE)
    # A number beyond the type to which it is converted becomes another value on x86-64 than on arm64.
    target_compile_options(verbena_options INTERFACE -fsanitize=address,undefined,float-cast-overflow -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(verbena_options INTERFACE -fsanitize=address,undefined,float-cast-overflow)
endif()

# verbena_add_library(<name> SOURCES ... DEPENDS ... PRIVATE_DEPENDS ...)
function(verbena_add_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    add_library(verbena_${name} STATIC ${ARG_SOURCES})
    # Modules hold them, and show nothing of them.
    set_target_properties(verbena_${name} PROPERTIES CXX_VISIBILITY_PRESET hidden VISIBILITY_INLINES_HIDDEN ON)
    target_link_libraries(verbena_${name} PUBLIC verbena_options ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
endfunction()

# verbena_add_app(<binary> SOURCES ... DEPENDS ...)
function(verbena_add_app binary)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${binary} ${ARG_SOURCES})
    target_compile_definitions(${binary} PRIVATE VERBENA_VERSION="${PROJECT_VERSION}")
    target_include_directories(${binary} SYSTEM PRIVATE ${Tclap_INCLUDE_DIR})
    target_link_libraries(${binary} PRIVATE verbena_options ${ARG_DEPENDS})
    install(TARGETS ${binary} RUNTIME DESTINATION bin)
endfunction()

# verbena_add_server(<binary> SOURCES ... DEPENDS ...): a program that holds its signals before it loads its libraries. SOURCES define verbenaMain() and
# become a module, which a program linked with the C library alone opens.
function(verbena_add_server binary)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    set(module ${binary}-module)
    set(folder lib/verbenaladder) # Seen from the folder above that of the program, in the build and where it is installed.
    add_library(${module} MODULE ${ARG_SOURCES})
    set_target_properties(${module} PROPERTIES
        PREFIX "" OUTPUT_NAME ${binary} LIBRARY_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/${folder}
        CXX_VISIBILITY_PRESET hidden VISIBILITY_INLINES_HIDDEN ON)
    target_compile_definitions(${module} PRIVATE VERBENA_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${module} PRIVATE verbena_options verbena_loader ${ARG_DEPENDS})
    # A missing symbol is found when the module is linked, or at the latest when it is loaded.
    target_link_options(${module} PRIVATE -Wl,-z,defs -Wl,-z,now -Wl,--version-script=${CMAKE_SOURCE_DIR}/cmake/module.map)
    set_target_properties(${module} PROPERTIES LINK_DEPENDS ${CMAKE_SOURCE_DIR}/cmake/module.map)

    add_executable(${binary} ${CMAKE_SOURCE_DIR}/src/apps/loader/main.cpp)
    target_compile_definitions(${binary} PRIVATE VERBENA_PROGRAM="${binary}" VERBENA_MODULE="../${folder}/${binary}.so")
    target_link_libraries(${binary} PRIVATE verbena_options verbena_loader)
    target_link_options(${binary} PRIVATE -Wl,--as-needed -Wl,-z,now) # The compiler names its own libraries to the linker, used or not.
    add_dependencies(${binary} ${module})
    install(TARGETS ${binary} RUNTIME DESTINATION bin)
    install(TARGETS ${module} LIBRARY DESTINATION ${folder})
endfunction()

# Label of tests that judge neither times nor other programs, as those of these libraries do. scripts/check-cross also runs them under the emulator of the other
# architecture.
set(VERBENA_EMULATED_LABEL emulated)
set(VERBENA_EMULATED_LIBRARIES verbena_decisions verbena_observe verbena_settings verbena_store verbena_virtualspread nlohmann_json::nlohmann_json)

# verbena_add_test(<name> SOURCES ... DEPENDS ...): a GoogleTest program, with RapidCheck at hand.
function(verbena_add_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(tst_${name} ${ARG_SOURCES})
    target_include_directories(tst_${name} SYSTEM PRIVATE ${RapidCheck_INCLUDE_DIR})
    target_include_directories(tst_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(tst_${name} PRIVATE verbena_options ${ARG_DEPENDS} ${RapidCheck_LIBRARY} GTest::gtest_main)
    set_target_properties(tst_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
    add_test(NAME ${name} COMMAND tst_${name})
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202;VERBENA_BIN=${CMAKE_BINARY_DIR}/bin" TIMEOUT 300)
    list(REMOVE_ITEM ARG_DEPENDS ${VERBENA_EMULATED_LIBRARIES})
    if(NOT ARG_DEPENDS)
        set_property(TEST ${name} PROPERTY LABELS ${VERBENA_EMULATED_LABEL})
    endif()
endfunction()
