#include "ProcessUsage.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace siskinspread::benchmark {
namespace {

    constexpr int fieldsBeforeUserTime = 11; // after the name, which ends with ")"
    constexpr int64_t bytesPerKilobyte = 1024;

    std::ifstream openFile(pid_t process, const std::string& name)
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/" + name);
        if (!file) {
            throw std::runtime_error("process " + std::to_string(process) + " does not run");
        }
        return file;
    }

    std::chrono::milliseconds processorTimeOf(pid_t process)
    {
        std::string line;
        std::ifstream file = openFile(process, "stat");
        std::getline(file, line);
        std::istringstream fields(line.substr(line.rfind(')') + 1));
        std::string skipped;
        for (int i = 0; i < fieldsBeforeUserTime; ++i) {
            fields >> skipped;
        }
        int64_t userTicks = 0;
        int64_t systemTicks = 0;
        fields >> userTicks >> systemTicks;
        return std::chrono::milliseconds((userTicks + systemTicks) * 1000 / sysconf(_SC_CLK_TCK));
    }

    int64_t residentBytesOf(pid_t process)
    {
        std::ifstream file = openFile(process, "status");
        std::string key;
        while (file >> key) {
            if (key == "VmRSS:") {
                int64_t kilobytes = 0;
                file >> kilobytes;
                return kilobytes * bytesPerKilobyte;
            }
        }
        throw std::runtime_error("no VmRSS of process " + std::to_string(process));
    }

} // namespace

ProcessUsage usageOf(pid_t process)
{
    return { .processorTime = processorTimeOf(process), .residentBytes = residentBytesOf(process) };
}

} // namespace siskinspread::benchmark
