#pragma once

#include "siskinspread/BoundedRing.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <semaphore>
#include <string>
#include <string_view>
#include <thread>

namespace siskinspread {

/** Options of a LineWriter. */
struct LineWriterOptions {
    int descriptor { 2 }; /**< An open file descriptor; standard error. It is neither closed nor changed. */
    size_t capacity { 8192 }; /**< Lines that may wait, above zero. */
    std::chrono::milliseconds flushTime { 1000 }; /**< How long the destructor lets waiting lines be written. */
};

/**
 * Writes lines to a file descriptor on a thread of its own, so that a reader who has stopped reading holds up nobody.
 * Thread safety: one thread at a time calls tryWrite; construction and destruction while none does.
 */
class LineWriter {
public:
    explicit LineWriter(LineWriterOptions);
    /** Ends the thread, after flushTime at the latest; lines that could not be written by then are gone. */
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /** Hands over one line with its newline; never blocks. @return false when too many lines wait: the line is not written. */
    bool tryWrite(std::string_view line);

private:
    void run();
    bool writeWhole(std::string_view line);
    bool waitUntilWritable();
    bool isLate() const;

    LineWriterOptions m_options;
    BoundedRing<std::string> m_ring;
    std::counting_semaphore<> m_steps { 0 }; /**< One for each line in the ring, and one more for the end. */
    std::atomic<bool> m_ending { false };
    std::chrono::steady_clock::time_point m_end {}; /**< Written before m_ending, read after it. */
    std::thread m_thread;
};

} // namespace siskinspread
