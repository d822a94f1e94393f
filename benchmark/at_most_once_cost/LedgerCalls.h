#pragma once

#include "siskinspread/HttpClient.h"

#include "support/Deployment.h"

#include <cstdint>
#include <string>

namespace siskinspread::benchmark {

/** Makes calls to the ledger of a deployment through one of its hosts. Thread safety: one thread at a time. */
class LedgerCalls {
public:
    LedgerCalls(const testing::Deployment&, size_t host);

    /** @return a repeatable call. */
    StartTransfer passThrough();

    /** @return a call that may not be repeated, with a key of its own. */
    StartTransfer atMostOnce();

    /** Sends calls that may not be repeated until one is answered 200, as soon as the keys have an owner. */
    void waitForOwner();

private:
    StartTransfer call(std::string method, const std::string& path);

    const testing::Deployment& m_deployment;
    const size_t m_host;
    uint64_t m_lastCall { 0 };
};

/** @return the writes to the store's incarnation logs so far. Throws when the store does not answer. */
uint64_t logWrites(testing::Deployment&);

/** @return the bytes of all incarnation logs in the store. Throws when the store does not answer. */
uint64_t logBytes(testing::Deployment&);

} // namespace siskinspread::benchmark
