#include "Replay.h"

#include <algorithm>

namespace siskinspread::benchmark {

namespace {

    using namespace std::chrono_literals;
    constexpr size_t customerCount = 5;
    constexpr auto firstTokenTarget = 1400ms;
    constexpr double allowedLateGaps = 0.05;

} // namespace

bool Replay::isInsideTarget(const OpenRequest& request) const
{
    return *request.firstTokenAt - request.arrival <= firstTokenTarget
        && request.lateGaps <= allowedLateGaps * std::max(1U, request.tokens - 1);
}

Measurement Replay::measure()
{
    double inside = 0;
    std::vector<double> offered(customerCount, 0);
    std::vector<double> good(customerCount, 0);
    std::vector<double> firstTokens;
    for (const TraceRequest& request : m_trace.requests) {
        ++offered[request.customer];
    }
    for (const OpenRequest* request : m_answered) {
        const double ok = isInsideTarget(*request) ? 1 : 0;
        inside += ok;
        good[request->trace->customer] += ok;
        firstTokens.push_back(std::chrono::duration<double, std::milli>(*request->firstTokenAt - request->arrival).count());
    }
    m_cost += alivePrice();
    std::sort(firstTokens.begin(), firstTokens.end());
    std::vector<double> shares;
    for (size_t c = 0; c < customerCount; ++c) {
        shares.push_back(good[c] / std::max(1.0, offered[c]));
    }
    m_measurement.offered = m_trace.requests.size();
    m_measurement.insideTarget = inside / static_cast<double>(m_trace.requests.size());
    m_measurement.costPerThousand = m_cost * 1000 / std::max(1.0, inside);
    m_measurement.recomputedPerThousand = 1000.0 * static_cast<double>(m_computed.recomputed) / static_cast<double>(m_computed.prompt + m_computed.output);
    m_measurement.firstTokenP95 = firstTokens.empty() ? 0 : firstTokens[firstTokens.size() * 95 / 100];
    m_measurement.worstCustomer = *std::min_element(shares.begin(), shares.end());
    m_measurement.bestCustomer = *std::max_element(shares.begin(), shares.end());
    return m_measurement;
}

double Replay::alivePrice() const
{
    double price = 0;
    for (size_t i = 0; i < engineCount; ++i) {
        if (m_engines[i]) {
            const std::chrono::duration<double, std::ratio<3600>> hours = m_start + traceLength - m_aliveSince[i];
            price += hours.count() * pricePerHour(i);
        }
    }
    return price;
}

} // namespace siskinspread::benchmark
