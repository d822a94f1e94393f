#include "ChildProcess.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <poll.h>
#include <stdexcept>
#include <string_view>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace siskinspread::testing {
namespace {

    constexpr std::string_view listeningPrefix = "listening ";
    constexpr int execFailedExitCode = 127;
    constexpr unsigned firstOtherDescriptor = 3;

    [[noreturn]] void throwErrno(const std::string& what)
    {
        throw std::runtime_error(what + ": " + std::strerror(errno));
    }

    std::vector<char*> toArgv(const ProcessOptions& options)
    {
        std::vector<char*> argv { const_cast<char*>(options.program.c_str()) };
        for (const std::string& argument : options.arguments) {
            argv.push_back(const_cast<char*>(argument.c_str()));
        }
        argv.push_back(nullptr);
        return argv;
    }

    /** Runs in the child between fork and exec: async-signal-safe calls only. */
    [[noreturn]] void executeChild(const char* outputFile, const char* errorFile, char* const* argv, int output, pid_t parent)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) { // the parent died before the request above
            _exit(execFailedExitCode);
        }
        dup2(outputFile != nullptr ? open(outputFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600) : output, STDOUT_FILENO);
        if (errorFile != nullptr) {
            const int error = open(errorFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            dup2(error, STDERR_FILENO);
        }
        // A child that keeps a copy of a stand-in's socket keeps its connection open when the stand-in closes it.
        syscall(SYS_close_range, firstOtherDescriptor, ~0U, 0U);
        execv(argv[0], argv);
        _exit(execFailedExitCode);
    }

    /** @return whether the descriptor became readable before the deadline. */
    bool waitReadable(int descriptor, std::chrono::steady_clock::time_point deadline)
    {
        while (true) {
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
            pollfd entry { .fd = descriptor, .events = POLLIN, .revents = 0 };
            const int ready = poll(&entry, 1, static_cast<int>(std::max<int64_t>(0, left.count())));
            if (ready >= 0 || errno != EINTR) {
                return ready > 0;
            }
        }
    }

} // namespace

ChildProcess::ChildProcess(const ProcessOptions& options)
{
    std::array<int, 2> output {};
    if (pipe2(output.data(), O_CLOEXEC) != 0) {
        throwErrno("pipe2");
    }
    const auto argv = toArgv(options);
    const char* outputFile = options.outputFile.empty() ? nullptr : options.outputFile.c_str();
    const char* errorFile = options.errorFile.empty() ? nullptr : options.errorFile.c_str();
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
        executeChild(outputFile, errorFile, argv.data(), output[1], parent);
    }
    close(output[1]);
    m_output = output[0];
    if (m_pid < 0) {
        close(m_output);
        throwErrno("fork");
    }
    // By syscall, since this C library declares pidfd_open without C linkage.
    m_processDescriptor = static_cast<int>(syscall(SYS_pidfd_open, m_pid, 0));
    if (m_processDescriptor < 0) {
        const int error = errno;
        kill();
        close(m_output);
        errno = error;
        throwErrno("pidfd_open");
    }
}

ChildProcess::~ChildProcess()
{
    kill();
    close(m_processDescriptor);
    close(m_output);
}

std::string ChildProcess::readLine(std::chrono::milliseconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    size_t lineEnd = m_buffered.find('\n');
    while (lineEnd == std::string::npos) {
        if (!waitReadable(m_output, end)) {
            throw std::runtime_error("no line from process " + std::to_string(m_pid) + " in time; so far: " + m_buffered);
        }
        std::array<char, 4096> chunk {};
        const ssize_t count = read(m_output, chunk.data(), chunk.size());
        if (count <= 0) {
            throw std::runtime_error("process " + std::to_string(m_pid) + " closed its output; so far: " + m_buffered);
        }
        m_buffered.append(chunk.data(), static_cast<size_t>(count));
        lineEnd = m_buffered.find('\n');
    }
    std::string line = m_buffered.substr(0, lineEnd);
    m_buffered.erase(0, lineEnd + 1);
    return line;
}

std::string ChildProcess::waitUntilListening(std::chrono::milliseconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        const std::string line = readLine(left);
        if (line.starts_with(listeningPrefix)) {
            return line.substr(listeningPrefix.size());
        }
    }
}

void ChildProcess::sendSignal(int signal) const
{
    if (!m_end) {
        ::kill(m_pid, signal);
    }
}

std::optional<ProcessEnd> ChildProcess::waitForEnd(std::chrono::milliseconds deadline)
{
    if (m_end || !waitReadable(m_processDescriptor, std::chrono::steady_clock::now() + deadline)) {
        return m_end;
    }
    int status = 0;
    if (waitpid(m_pid, &status, 0) != m_pid) {
        throwErrno("waitpid");
    }
    m_end = ProcessEnd {};
    if (WIFEXITED(status)) {
        m_end->exitCode = WEXITSTATUS(status);
    } else {
        m_end->signal = WTERMSIG(status);
    }
    return m_end;
}

ProcessEnd ChildProcess::terminate(std::chrono::milliseconds deadline)
{
    sendSignal(SIGTERM);
    const auto end = waitForEnd(deadline);
    if (!end) {
        throw std::runtime_error("process " + std::to_string(m_pid) + " did not end after SIGTERM");
    }
    return *end;
}

void ChildProcess::kill()
{
    if (m_end || m_pid <= 0) {
        return;
    }
    ::kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_end = ProcessEnd { .exitCode = std::nullopt, .signal = SIGKILL };
}

} // namespace siskinspread::testing
