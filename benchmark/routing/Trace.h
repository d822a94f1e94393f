#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread::benchmark {

/** A piece of a prompt; equal ids stand for equal text. */
struct PromptSegment {
    uint32_t id { 0 };
    uint32_t tokens { 0 };
};

/** One request as callers send it. */
struct TraceRequest {
    std::chrono::milliseconds arrival { 0 };
    uint32_t customer { 0 };
    uint8_t priority { 1 };
    uint32_t outputTokens { 0 };
    std::chrono::milliseconds timeAllowed { 0 }; /**< From arrival to the deadline. */
    std::vector<PromptSegment> prompt;
};

/** A recorded workload, ordered by arrival. */
struct Trace {
    std::string workload;
    std::vector<TraceRequest> requests;
};

/** The workloads that generateTrace knows. */
constexpr std::string_view workloads[] = { "dawn-rush", "blend-sheets", "steady", "customer-burst" };

/** Makes a trace of the named workload; equal arguments give equal traces on every machine. */
Trace generateTrace(std::string_view workload, uint64_t seed);

/** Writes one line for each request: arrival in ms, customer, priority, output tokens, ms allowed, segments as id:tokens. */
void writeTrace(std::ostream& out, const Trace& trace);

/** Reads what writeTrace wrote. */
Trace readTrace(std::istream& in, std::string_view workload);

} // namespace siskinspread::benchmark
