#include "siskinspread/ExitCode.h"

namespace siskinspread {

ExitCode exitCodeFor(ResultCode reason)
{
    switch (reason) {
    case ResultCode::Ok:
        return ExitCode::Success;
    case ResultCode::InvalidConfiguration:
    case ResultCode::InvalidSettings:
        return ExitCode::Invalid;
    case ResultCode::MalformedRequest:
        return ExitCode::Usage;
    case ResultCode::UnknownRequest:
    case ResultCode::UnknownService:
    case ResultCode::UnknownCustomer:
    case ResultCode::NoBackendServer:
        return ExitCode::NotFound;
    case ResultCode::StoreUnavailable:
    case ResultCode::BackendConnectFailed:
    case ResultCode::BackendNoProgress:
    case ResultCode::BackendStreamBroken:
    case ResultCode::SliceOwnerUnreachable:
    case ResultCode::SliceOwnerConnectionBroken:
    case ResultCode::NoConfiguration:
        return ExitCode::Unavailable;
    case ResultCode::InternalError:
        return ExitCode::Internal;
    default:
        return ExitCode::Refused;
    }
}

} // namespace siskinspread
