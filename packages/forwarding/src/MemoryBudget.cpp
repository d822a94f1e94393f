#include "siskinspread/MemoryBudget.h"

namespace siskinspread {

MemoryBudgetOptions memoryBudgetOf(size_t memoryBytes, size_t reservableBytes)
{
    // The rest is for the process itself, connections, and answers that are gathered before they are passed on.
    return { .reservableBytes = reservableBytes > 0 ? reservableBytes : memoryBytes / 4, .unreservedBytes = memoryBytes / 8 };
}

void HeldBytes::setUnreserved(size_t bytes)
{
    if (m_budget) {
        m_budget->m_unreserved += bytes - m_unreserved;
        m_unreserved = bytes;
    }
}

bool HeldBytes::reserve(size_t bytes)
{
    if (!m_budget) {
        return true;
    }
    if (!m_budget->canReserve(bytes)) {
        return false;
    }
    m_budget->m_reserved += bytes;
    m_reserved += bytes;
    return true;
}

HeldBytes HeldBytes::takeReservation()
{
    HeldBytes taken { m_budget };
    std::swap(taken.m_reserved, m_reserved);
    return taken;
}

void HeldBytes::clear()
{
    setUnreserved(0);
    if (m_budget) {
        m_budget->m_reserved -= m_reserved;
        m_reserved = 0;
    }
}

} // namespace siskinspread
