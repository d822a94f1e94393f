#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace siskinspread {

/**
 * Bounded queue of owned messages from one thread to another.
 *
 * Thread safety: one thread calls tryPush and one thread calls tryPop; they may be different threads. A full ring
 * refuses the message and leaves it with the caller, who counts the refusal; nothing is dropped in silence. There is
 * one ring for each pair of threads rather than one shared by several producers: the multi-producer queue of
 * Boost.Lockfree builds its nodes with plain writes, which ThreadSanitizer reports.
 */
template <typename Message>
class BoundedRing {
public:
    /**
     * @param capacity the number of messages held at most, above zero.
     * @param wakeConsumer called on the producer's thread after each push; must not block.
     */
    explicit BoundedRing(size_t capacity, std::function<void()> wakeConsumer = {})
        : m_queue(capacity)
        , m_wakeConsumer(std::move(wakeConsumer))
    {
    }

    BoundedRing(const BoundedRing&) = delete;
    BoundedRing& operator=(const BoundedRing&) = delete;

    ~BoundedRing()
    {
        while (tryPop()) { }
    }

    /** @return false when the ring is full; `message` is then unchanged, and otherwise null. */
    bool tryPush(std::unique_ptr<Message>& message)
    {
        if (!m_queue.push(message.get())) {
            return false;
        }
        static_cast<void>(message.release()); // owned by the ring from here on
        if (m_wakeConsumer) {
            m_wakeConsumer();
        }
        return true;
    }

    /** @return the oldest message, or null when the ring is empty. */
    std::unique_ptr<Message> tryPop()
    {
        Message* message = nullptr;
        return m_queue.pop(message) ? std::unique_ptr<Message>(message) : nullptr;
    }

private:
    boost::lockfree::spsc_queue<Message*> m_queue;
    std::function<void()> m_wakeConsumer;
};

} // namespace siskinspread
