# Third-party libraries, all from Debian packages (the install line is in scripts/install).
find_package(Threads REQUIRED)
find_package(fmt REQUIRED) # must precede restinio, whose configuration refers to fmt::fmt
find_package(restinio REQUIRED)
find_package(Protobuf REQUIRED)
find_package(CURL REQUIRED)
find_package(Boost REQUIRED COMPONENTS program_options)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
