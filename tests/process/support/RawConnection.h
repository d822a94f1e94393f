#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskinspread::testing {

/** A TCP connection to 127.0.0.1 over which a test sends what no HTTP client would. Thread safety: one thread at a time. */
class RawConnection {
public:
    /** Throws std::runtime_error when the connection is refused. */
    explicit RawConnection(uint16_t port);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    /** Sends as much as the other end takes. @return false when it has closed. */
    bool send(std::string_view bytes) const;

    /** Closes the sending half. */
    void endSending() const;

    /** Reads until `text` has arrived, the other end closes or nothing comes before the deadline. @return all read so far. */
    const std::string& readUntil(std::string_view text, std::chrono::milliseconds deadline = std::chrono::seconds(20));

    /** Reads until the other end closes or nothing comes before the deadline. @return all read so far. */
    const std::string& readAll(std::chrono::milliseconds deadline = std::chrono::seconds(20));

    /** @return whether the other end was seen to close. */
    bool isClosed() const { return m_isClosed; }

private:
    bool readSome(std::chrono::steady_clock::time_point end);

    int m_descriptor;
    bool m_isClosed { false };
    std::string m_received;
};

} // namespace siskinspread::testing
