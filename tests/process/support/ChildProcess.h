#pragma once

#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace siskinspread::testing {

struct ProcessOptions {
    std::string program; /**< Path of the executable. */
    std::vector<std::string> arguments;
    std::string outputFile; /**< Where standard output goes; empty: to readLine. */
    std::string errorFile; /**< Where standard error goes; empty: to that of the test. */
};

/** How a process ended: by exit with a code or by a signal. */
struct ProcessEnd {
    std::optional<int> exitCode;
    std::optional<int> signal;
};

/**
 * A process that a test starts. The destructor kills it by its id and reaps it; the kernel kills it too when the
 * thread that started it dies, so that a test that is killed leaves no process behind.
 * Thread safety: one thread at a time; the thread that constructs must outlive the process.
 */
class ChildProcess {
public:
    /** Starts the program. Throws std::runtime_error when it can't be started. */
    explicit ChildProcess(const ProcessOptions& options);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t pid() const { return m_pid; }

    /**
     * Reads standard output up to and with the next line end.
     * @return the line without its end. Throws std::runtime_error at the deadline or at the end of the output.
     */
    std::string readLine(std::chrono::milliseconds deadline = std::chrono::seconds(20));

    /**
     * Reads lines up to "listening ADDRESS:PORT".
     * @return "ADDRESS:PORT". Throws like readLine.
     */
    std::string waitUntilListening(std::chrono::milliseconds deadline = std::chrono::seconds(20));

    /** Sends a signal to this process only; does nothing when it has ended and was reaped. */
    void sendSignal(int signal) const;

    /** @return how the process ended, or nothing at the deadline. */
    std::optional<ProcessEnd> waitForEnd(std::chrono::milliseconds deadline = std::chrono::seconds(20));

    /** Sends SIGTERM and waits. Throws std::runtime_error when the process does not end in time. */
    ProcessEnd terminate(std::chrono::milliseconds deadline = std::chrono::seconds(20));

    /** Sends SIGKILL and reaps the process. */
    void kill();

private:
    pid_t m_pid { -1 };
    int m_processDescriptor { -1 };
    int m_output { -1 };
    std::string m_buffered;
    std::optional<ProcessEnd> m_end;
};

} // namespace siskinspread::testing
