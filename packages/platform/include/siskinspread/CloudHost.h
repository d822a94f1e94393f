#pragma once

#include "siskinspread/CloudApi.h"

namespace siskinspread {

/** What the cloud API says of a host. */
enum class CloudHostState : uint8_t {
    Running, /**< Or leaving: it may still act. */
    Ended,
    Unknown, /**< The cloud API knows no host of this name, which proves nothing. */
};

/** Builds the call that reads the state of one host. Thread safety: reentrant. */
StartTransfer readCloudHost(const CloudApiOptions&, const std::string& host);

/** @param reason StoreUnavailable when there was no answer or it is no host. Thread safety: reentrant. */
std::optional<CloudHostState> cloudHostState(const TransferEnded&, LastReason& reason);

} // namespace siskinspread
