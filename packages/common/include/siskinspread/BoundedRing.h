#pragma once

#include <boost/lockfree/queue.hpp>

#include <cstddef>
#include <memory>

namespace siskinspread {

/**
 * Bounded queue of owned messages between threads, many producers to one or more consumers.
 *
 * Thread safety: tryPush and tryPop may be called from any thread at once. A full ring refuses the message and
 * leaves it with the caller, who counts the refusal; nothing is dropped in silence.
 */
template <typename Message>
class BoundedRing {
public:
    /** @param capacity the number of messages held at most, 1 to 65534. */
    explicit BoundedRing(size_t capacity)
        : m_queue(capacity)
    {
    }

    BoundedRing(const BoundedRing&) = delete;
    BoundedRing& operator=(const BoundedRing&) = delete;

    ~BoundedRing()
    {
        while (tryPop()) { }
    }

    /** @return false when the ring is full; `message` is then unchanged. */
    bool tryPush(std::unique_ptr<Message>& message)
    {
        if (!m_queue.bounded_push(message.get())) {
            return false;
        }
        static_cast<void>(message.release()); // owned by the ring from here on
        return true;
    }

    /** @return the oldest message, or null when the ring is empty. */
    std::unique_ptr<Message> tryPop()
    {
        Message* message = nullptr;
        return m_queue.pop(message) ? std::unique_ptr<Message>(message) : nullptr;
    }

private:
    boost::lockfree::queue<Message*> m_queue;
};

} // namespace siskinspread
