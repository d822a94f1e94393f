#include "siskinspread/LineWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace siskinspread {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 50 };

} // namespace

LineWriter::LineWriter(LineWriterOptions options)
    : m_options(options)
    , m_ring(options.capacity, [this] { m_steps.release(); })
    , m_thread([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    m_end = std::chrono::steady_clock::now() + m_options.flushTime;
    m_ending.store(true, std::memory_order_release);
    m_steps.release();
    m_thread.join();
}

bool LineWriter::tryWrite(std::string_view line)
{
    auto message = std::make_unique<std::string>(line);
    return m_ring.tryPush(message);
}

void LineWriter::run()
{
    while (true) {
        m_steps.acquire();
        const auto line = m_ring.tryPop();
        if (!line || !writeWhole(*line)) {
            return; // the step without a line is the end; so is a descriptor that takes nothing any more
        }
    }
}

// A write of at most PIPE_BUF bytes does not block on a pipe that poll calls writable, so the end is noticed in time.
bool LineWriter::writeWhole(std::string_view line)
{
    while (!line.empty()) {
        if (!waitUntilWritable()) {
            return false;
        }
        const ssize_t written = ::write(m_options.descriptor, line.data(), std::min<size_t>(line.size(), PIPE_BUF));
        if (written < 0 && (errno == EINTR || errno == EAGAIN)) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        line.remove_prefix(static_cast<size_t>(written));
    }
    return true;
}

bool LineWriter::waitUntilWritable()
{
    while (!isLate()) {
        pollfd waiting { .fd = m_options.descriptor, .events = POLLOUT, .revents = 0 };
        if (poll(&waiting, 1, static_cast<int>(pollInterval.count())) > 0) {
            return true;
        }
    }
    return false;
}

bool LineWriter::isLate() const
{
    return m_ending.load(std::memory_order_acquire) && std::chrono::steady_clock::now() >= m_end;
}

} // namespace siskinspread
