# The other of the two architectures: what Debian and the compiler call it, and the folder of its libraries; read by the scripts that build for it.
case "$(uname -m)" in
    aarch64) cross=x86_64-linux-gnu cross_debian=amd64 cross_compiler=g++-x86-64-linux-gnu ;;
    x86_64) cross=aarch64-linux-gnu cross_debian=arm64 cross_compiler=g++-aarch64-linux-gnu ;;
    *) echo "$(uname -m) is neither x86_64 nor aarch64." >&2; exit 1 ;;
esac
emulator=qemu-${cross%%-*}
sysroot=$PWD/build-cross/sysroot
