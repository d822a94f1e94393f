#pragma once

#include "siskinspread/HostContext.h"
#include "siskinspread/IncarnationLogClosing.h"
#include "siskinspread/ObjectApi.h"

#include <functional>

namespace siskinspread {

/** Receives the answer to a read of another incarnation's log. */
using LogReadDone = std::function<void(const LogClosingEvent&)>;

/** Reads one batch; ends in BatchFound or CallFailed. Thread safety: decide thread only. */
void readLogBatch(HostContext&, const ObjectApiOptions&, const ReadBatch&, LogReadDone);

/** Reads the sealed copies; ends in SealedCopyFound or CallFailed. Thread safety: decide thread only. */
void readSealedCopy(HostContext&, const ObjectApiOptions&, const ReadSealedCopy&, LogReadDone);

} // namespace siskinspread
