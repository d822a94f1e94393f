#pragma once

#include "LoadClient.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace siskinspread::benchmark {

struct StreamLoadOptions {
    size_t streams { 1 }; /**< Open at once; each starts its next answer when one ends. */
    size_t answersPerStream { 1 };
    std::chrono::milliseconds startSpread { 1000 }; /**< Over which the first answers are started. */
    std::function<StartTransfer(size_t stream)> request; /**< Of a streamed chat completion. */
    std::function<void()> onAllOpen {}; /**< Called once, when every stream has had its first byte. */
};

/** What a load saw. */
struct StreamSample {
    std::vector<double> firstByteMs; /**< From the start of a request to the first byte of its answer's body. */
    std::vector<double> tokenDelayUs; /**< From the stand-in engine's emission of a token to its arrival. */
    size_t whole { 0 }; /**< Answers that arrived with their end mark. */
    size_t failed { 0 }; /**< The others. */
    std::string firstFailure; /**< Status and body of the first that failed. */
    std::chrono::duration<double> duration { 0 };
};

/** Runs the load to its end. Throws std::runtime_error when nothing arrives for a minute. */
StreamSample runStreams(LoadClient&, const StreamLoadOptions&);

/** Adds the figures of a later part. */
void append(StreamSample& total, const StreamSample& part);

} // namespace siskinspread::benchmark
