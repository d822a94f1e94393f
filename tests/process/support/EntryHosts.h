#pragma once

#include "ChildProcess.h"
#include "TempDirectory.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace siskinspread::testing {

/** Name and place of an entry host of a test. */
struct EntryHostPlace {
    std::string name;
    std::string failureDomain;
};

/**
 * Entry hosts that know each other as peers, as processes on a loopback address that belongs to this test process
 * alone, so that tests can run side by side with ports known in advance.
 * Thread safety: one thread at a time.
 */
class EntryHosts {
public:
    /**
     * Writes the settings of the hosts; none is started.
     * @param objectApi "http://IP:PORT".
     */
    EntryHosts(std::vector<EntryHostPlace> places, const std::string& objectApi);

    /** Starts a host and waits until it answers its operators. Precondition: it does not run. */
    void start(const std::string& name);

    /** Sends SIGKILL to a host. */
    void kill(const std::string& name);

    /** @return the URL of a path on the port for callers. */
    std::string callerUrl(const std::string& name, const std::string& path) const;

    /** @return the URL of a path on the port for peers and operators. */
    std::string peerUrl(const std::string& name, const std::string& path) const;

    /** @return what a host answers at /operator/status, or an empty object. */
    nlohmann::json status(const std::string& name) const;

    /** Runs siskinctl and waits for its end. @return its exit code, or -1 when it did not end by itself. */
    int control(std::vector<std::string> arguments) const;

    /** Writes a file beside the settings. @return its path. */
    std::string writeFile(const std::string& name, const std::string& content) const;

private:
    size_t indexOf(const std::string& name) const;
    std::string settingsOf(size_t index, const std::string& objectApi) const;

    const std::vector<EntryHostPlace> m_places;
    const std::string m_address;
    const TempDirectory m_directory;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
};

} // namespace siskinspread::testing
