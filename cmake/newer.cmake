# Builds for this machine's architecture, VERBENA_CROSS, with the libraries of VERBENA_SYSROOT and the compiler beside it; scripts/check-newer-debian fills both.
include(${CMAKE_CURRENT_LIST_DIR}/cross.cmake)
set(CMAKE_CXX_COMPILER ${VERBENA_SYSROOT}/../bin/g++)
