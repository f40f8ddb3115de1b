# The Debian packages of the build, the tests and the checks, and how missing ones are installed; read by the scripts that set up a machine.
tool_packages=(g++ cmake make ninja-build pkg-config ccache clang-format clang-tidy python3)
library_packages=(libev-dev libzmq3-dev libprotobuf-dev libcurl4-openssl-dev libmicrohttpd-dev libtclap-dev liblog4cxx-dev
    libboost-dev libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev libsodium-dev
    libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev)

# install_packages PACKAGE...: asks for no package that is there already.
install_packages() {
    local package missing=() sudo=""
    for package in "$@"; do
        dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return
    [ "$(id -u)" -eq 0 ] || sudo=sudo
    $sudo apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}"
}
