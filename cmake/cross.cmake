# Builds with the libraries of VERBENA_SYSROOT: for the other of the two architectures, whose folder scripts/setup-cross fills, or, by cmake/newer.cmake, with
# those of a newer release.
# VERBENA_CROSS is what the compiler calls that architecture: aarch64-linux-gnu or x86_64-linux-gnu. VERBENA_EMULATOR runs its programs, if this machine can't.
set(CMAKE_TRY_COMPILE_PLATFORM_VARIABLES VERBENA_CROSS VERBENA_SYSROOT)
string(REGEX REPLACE "-.*" "" CMAKE_SYSTEM_PROCESSOR "${VERBENA_CROSS}")
set(CMAKE_SYSTEM_NAME Linux)
set(CMAKE_SYSROOT "${VERBENA_SYSROOT}")
set(CMAKE_C_COMPILER ${VERBENA_CROSS}-gcc)
set(CMAKE_CXX_COMPILER ${VERBENA_CROSS}-g++)
set(CMAKE_LIBRARY_ARCHITECTURE ${VERBENA_CROSS})
if(VERBENA_EMULATOR)
    set(CMAKE_CROSSCOMPILING_EMULATOR "${VERBENA_EMULATOR};-L;${VERBENA_SYSROOT}")
endif()
set(CMAKE_FIND_ROOT_PATH_MODE_PROGRAM NEVER)
set(CMAKE_FIND_ROOT_PATH_MODE_LIBRARY ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_INCLUDE ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_PACKAGE ONLY)
set(ENV{PKG_CONFIG_LIBDIR} "${VERBENA_SYSROOT}/usr/lib/${VERBENA_CROSS}/pkgconfig:${VERBENA_SYSROOT}/usr/share/pkgconfig")
set(ENV{PKG_CONFIG_SYSROOT_DIR} "${VERBENA_SYSROOT}")
