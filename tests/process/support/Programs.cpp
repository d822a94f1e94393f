#include "Programs.h"

#include "HttpClient.h"

#include <stdexcept>
#include <utility>

namespace siskinspread::testing {
namespace {

    ProcessOptions standInOptions(const std::string& name, std::vector<std::string> arguments, uint16_t port)
    {
        arguments.insert(arguments.begin(), { "--port", std::to_string(port) });
        return { .program = standInProgram(name), .arguments = std::move(arguments), .errorFile = {} };
    }

} // namespace

std::filesystem::path buildDirectory()
{
    return SISKINSPREAD_BUILD_DIRECTORY;
}

std::string standInProgram(const std::string& name)
{
    return (buildDirectory() / "tests" / "standins" / name).string();
}

StandIn::StandIn(const std::string& name, std::vector<std::string> arguments, uint16_t port)
    : m_process(standInOptions(name, std::move(arguments), port))
    , m_address(m_process.waitUntilListening())
{
}

void StandIn::setFaults(const std::string& json) const
{
    const HttpResponse response = httpCall({ .method = "POST", .url = url("/control/faults"), .body = json });
    if (response.status != 200) {
        throw std::runtime_error("faults not set: " + json + ": " + response.body + response.error);
    }
}

} // namespace siskinspread::testing
