# Installs missing packages and builds into ./build. Source it from the top folder.

build_packages=(cmake ninja-build g++ pkg-config libace-dev libnghttp2-dev prometheus-cpp-dev libcurl4-openssl-dev
    libmicrohttpd-dev libpopt-dev libeasyloggingpp-dev libexpected-dev librapidcheck-dev nlohmann-json3-dev libhttp-parser-dev
    libssl-dev libxxhash-dev libgtest-dev libgmock-dev libbenchmark-dev spin gnuplot-nox curl clang-format clang-tidy)

build_install() {
    local missing=() package
    for package in "${build_packages[@]}"; do
        dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return 0
    apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

build_all() {
    cmake -S . -B build -G Ninja >build.log 2>&1 && cmake --build build >>build.log 2>&1 || { tail -40 build.log; return 1; }
    BIN=$PWD/build/bin
}
