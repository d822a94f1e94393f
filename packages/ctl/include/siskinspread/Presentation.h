#pragma once

#include "siskinspread/Accounts.h"
#include "siskinspread/LastReason.h"
#include "siskinspread/OperatorReports.h"
#include "siskinspread/RequestLosses.h"

#include <string>

namespace siskinspread {

/**
 * Reports as text for people and as JSON for scripts. Text and JSON end in a newline; JSON is one object on one line.
 * Names of fields and values in JSON are stable. Thread safety: all reentrant.
 */
std::string presentText(const CheckReport& report);
std::string presentText(const PublishReport& report);
std::string presentText(const SystemStatus& status);
std::string presentText(const AccountAnswer& answer);
std::string presentText(const DrainReport& report);
std::string presentText(const LossReport& report);
std::string presentText(const LastReason& reason);

std::string presentJson(const CheckReport& report);
std::string presentJson(const PublishReport& report);
std::string presentJson(const SystemStatus& status);
std::string presentJson(const AccountAnswer& answer);
std::string presentJson(const DrainReport& report);
std::string presentJson(const LossReport& report);
std::string presentJson(const LastReason& reason);

} // namespace siskinspread
