#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinspread {

/** An IPv4 address and port. */
struct NetworkAddress {
    std::string address;
    uint16_t port { 0 };
    bool operator==(const NetworkAddress&) const = default;
};

/** Bounds that the deployment promises to its customers. */
struct DeploymentBounds {
    std::chrono::milliseconds configurationInForce { 2000 }; /**< From the acknowledgement of a version. */
    std::chrono::milliseconds revocationInForce { 5000 }; /**< From the acknowledgement of a version that takes a key away. */
    std::chrono::milliseconds drainInForce { 2000 }; /**< From the acknowledgement that a replica leaves. */
    std::chrono::milliseconds stopGrace { 8000 }; /**< From the stop signal to the end of the process. */
    std::chrono::milliseconds lease { 3000 };
    std::chrono::milliseconds reportWindow { 5000 };
    std::chrono::milliseconds reportDue { 10000 }; /**< From the end of a window. */
    std::chrono::milliseconds eventDelay { 120 }; /**< Longest time to pass an event of a stream on. */
    double retryRatio { 0.2 }; /**< Further attempts over requests, for all hosts together. */
    double retrySlack { 50 };
    std::chrono::milliseconds retryWindow { 10000 };
    double quotaSlack { 0 }; /**< That customers may spend beyond their limits in a window, in the unit of the limit. */
    double quotaOvershoot { 0 }; /**< The same as a share of the limit. */
    std::chrono::milliseconds quotaWindow { 8000 };
    double canaryShare { 0 }; /**< Of the requests of a service, that a faulty new version may get; 0: versions make no difference. */
};

/** Everything that a host is told before it starts. */
struct ForwardingSettings {
    std::string host;
    std::string failureDomain;
    std::string region;
    NetworkAddress callers;
    NetworkAddress readiness; /**< Readiness and metrics. */
    uint16_t peerPort { 0 }; /**< UDP, the same on all hosts. */
    NetworkAddress store;
    NetworkAddress cloud; /**< Port 0: there is none. */
    bool reportsUsage { false };
    bool ordersReplicas { false };
    size_t maxDescriptors { 1024 };
    size_t memoryBytes { 256U << 20 };
    size_t largeBodyBytes { 0 }; /**< Of bodies over 64 KB, together; 0: a quarter of the memory. */
    size_t maxCallers { 0 }; /**< Open connections; 0: half of the descriptors that are not reserved. */
    /** After a start callers wait this long for the first configuration before they are refused: a read of the store takes some 30 ms. */
    std::chrono::milliseconds startPatience { 400 };
    DeploymentBounds bounds;
};

} // namespace siskinspread
