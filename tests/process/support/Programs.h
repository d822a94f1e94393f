#pragma once

#include "ChildProcess.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace siskinspread::testing {

/** @return the build directory that the test belongs to. */
std::filesystem::path buildDirectory();

/** @return the path of a stand-in, for example of "standin_engine". */
std::string standInProgram(const std::string& name);

/** A running stand-in. */
class StandIn {
public:
    /** Starts the stand-in on a port, 0 for a free one, and waits until it listens. Throws std::runtime_error when it does not. */
    explicit StandIn(const std::string& name, std::vector<std::string> arguments = {}, uint16_t port = 0);

    /** @return "127.0.0.1:PORT". */
    const std::string& address() const { return m_address; }

    /** @return the URL of a path that starts with a slash. */
    std::string url(const std::string& path) const { return "http://" + m_address + path; }

    ChildProcess& process() { return m_process; }

    /** Sends a JSON body to /control/faults. Throws std::runtime_error unless the stand-in knows every member. */
    void setFaults(const std::string& json) const;

private:
    ChildProcess m_process;
    std::string m_address;
};

} // namespace siskinspread::testing
