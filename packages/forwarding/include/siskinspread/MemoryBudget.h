#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace siskinspread {

/** How much memory a host holds for callers. */
struct MemoryBudgetOptions {
    /**
     * For bodies larger than `smallBody`, reserved before they are read: a body whose reservation is granted can always be read to its end.
     */
    size_t reservableBytes { 64U << 20U };
    /** For everything else: small bodies, the beginnings of large ones, and answers that callers have not taken yet. */
    size_t unreservedBytes { 32U << 20U };
    size_t smallBody { 64U << 10U };
};

/**
 * @param reservableBytes 0: a quarter of the memory.
 * @return the budget of a host with this memory. Thread safety: reentrant.
 */
MemoryBudgetOptions memoryBudgetOf(size_t memoryBytes, size_t reservableBytes = 0);

/** One account of the bytes that a host holds for callers. Thread safety: loop thread only. */
class MemoryBudget {
public:
    explicit MemoryBudget(MemoryBudgetOptions options)
        : m_options(options)
    {
    }

    const MemoryBudgetOptions& options() const { return m_options; }
    size_t reservedBytes() const { return m_reserved; }
    size_t unreservedBytes() const { return m_unreserved; }
    bool canReserve(size_t bytes) const { return m_reserved + bytes <= m_options.reservableBytes || m_reserved == 0; }
    bool isExhausted() const { return m_unreserved > m_options.unreservedBytes; }

private:
    friend class HeldBytes;
    MemoryBudgetOptions m_options;
    size_t m_reserved { 0 };
    size_t m_unreserved { 0 };
};

/** What one owner holds; given back by the destructor. Thread safety: loop thread only. */
class HeldBytes {
public:
    HeldBytes() = default;
    explicit HeldBytes(std::shared_ptr<MemoryBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~HeldBytes() { clear(); }
    HeldBytes(HeldBytes&& other) noexcept { swap(other); }
    HeldBytes& operator=(HeldBytes&& other) noexcept
    {
        swap(other);
        return *this;
    }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    /** Sets what is held outside the reservation. */
    void setUnreserved(size_t bytes);
    /** Reserves memory for a large body. @return whether there was room; without a budget there always is. */
    bool reserve(size_t bytes);
    bool hasReservation() const { return m_reserved > 0; }
    /** Hands the reservation over to the next owner of the body. */
    HeldBytes takeReservation();
    size_t bytes() const { return m_reserved + m_unreserved; }
    size_t unreservedBytes() const { return m_unreserved; }
    void clear();

private:
    void swap(HeldBytes& other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_reserved, other.m_reserved);
        std::swap(m_unreserved, other.m_unreserved);
    }

    std::shared_ptr<MemoryBudget> m_budget; /**< Null: no limit. */
    size_t m_reserved { 0 };
    size_t m_unreserved { 0 };
};

} // namespace siskinspread
