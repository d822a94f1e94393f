#pragma once

#include "LoadClient.h"

#include <functional>
#include <limits>
#include <map>
#include <vector>

namespace siskinspread::benchmark {

struct RequestLoadOptions {
    size_t inFlight { 1 }; /**< Each answer is followed by the next request. */
    size_t requests { std::numeric_limits<size_t>::max() }; /**< No more are started beyond this number, */
    std::chrono::milliseconds duration { std::chrono::hours(1) }; /**< or after this time. */
    std::function<StartTransfer()> next;
    std::function<void()> onAllStarted {}; /**< Called when `requests` have been started. */
};

/** What a load saw. */
struct RequestSample {
    std::vector<double> latencyMs; /**< Of the requests answered 200. */
    std::map<int, size_t> otherAnswers; /**< By HTTP status; 0 for a connection that failed. */
    std::chrono::duration<double> duration { 0 };
};

/** Runs the load until the last answer. Throws std::runtime_error when nothing arrives for a minute. */
RequestSample runRequests(LoadClient&, const RequestLoadOptions&);

/** Adds the figures of a later part. */
void append(RequestSample& total, const RequestSample& part);

} // namespace siskinspread::benchmark
