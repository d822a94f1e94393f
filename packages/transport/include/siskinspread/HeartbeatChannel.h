#pragma once

#include "siskinspread/LastReason.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace siskinspread {

/** One datagram, to or from a host. */
struct Datagram {
    std::string address; /**< IP:port of the other host's heartbeats. */
    std::string bytes;
};

/** Sends datagrams. The interface at which the mock of the network stands. */
class DatagramSender {
public:
    virtual ~DatagramSender() = default;

    /** @return false when the ring is full; `datagram` is then unchanged. What is taken may still be lost on its way. */
    virtual bool trySend(std::unique_ptr<Datagram>& datagram) = 0;
};

struct HeartbeatChannelOptions {
    std::string address; /**< IP number to bind. */
    uint16_t port { 0 }; /**< 0: any free port. */
    size_t ringCapacity { 4096 };
};

/**
 * Heartbeats between hosts as UDP datagrams, on a thread of its own that two bounded rings join to its user.
 *
 * Thread safety: start, stop, trySend and next are called by one thread; refusedCount by any.
 */
class HeartbeatChannel final : public DatagramSender {
public:
    /** @param wake called on the channel's thread after each datagram that arrived; must not block. */
    HeartbeatChannel(HeartbeatChannelOptions, std::function<void()> wake);
    HeartbeatChannel(const HeartbeatChannel&) = delete;
    HeartbeatChannel& operator=(const HeartbeatChannel&) = delete;
    ~HeartbeatChannel() override;

    /** Binds and begins to receive. @return the port, or nothing with InternalError when it can't be bound. */
    std::optional<uint16_t> start(LastReason&);

    /** Closes the socket and joins the thread. Idempotent. */
    void stop();

    bool trySend(std::unique_ptr<Datagram>&) override;

    /** @return the oldest datagram that arrived, or null. */
    std::unique_ptr<Datagram> next();

    /** @return how many datagrams found the ring of arrivals full so far. */
    uint64_t refusedCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace siskinspread
