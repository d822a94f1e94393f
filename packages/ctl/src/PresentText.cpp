#include "siskinspread/Presentation.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace siskinspread {

namespace {

    std::string line(std::string_view name, std::string_view value)
    {
        return fmt::format("{:<14}{}\n", name, value);
    }

    std::string describeResult(ResultCode result)
    {
        const ResultInfo& info = resultInfo(result);
        return fmt::format("{} {}", static_cast<int>(info.code), info.name);
    }

    std::string_view describeRun(RunState run)
    {
        switch (run) {
        case RunState::NotRun:
            return "not run";
        case RunState::Ran:
            return "ran";
        case RunState::MayHaveRun:
            break;
        }
        return "may have run";
    }

    std::string plural(uint64_t count, std::string_view noun)
    {
        return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
    }

} // namespace

std::string presentText(const CheckReport& report)
{
    std::string text = formatProblems(report.problems);
    if (!text.empty()) {
        text += "\n";
    }
    return text + plural(report.files, "file") + " checked, " + plural(report.problems.size(), "problem") + "\n";
}

std::string presentText(const PublishReport& report)
{
    std::string text = line("revision", std::to_string(report.revision)) + line("publish id", report.publishId);
    for (const std::string& service : report.changedServices) {
        text += line("changed", service);
    }
    if (report.settledByReadBack) {
        text += line("note", "the answer was lost; the configuration was read back and holds this publish");
    }
    if (report.spread) {
        text += line("in force", fmt::format("on {} of {}", report.spread->inForce, plural(report.spread->liveHosts, "live host")));
    }
    return text;
}

std::string presentText(const SystemStatus& status)
{
    std::string text = line("seen by", status.observer) + line("configuration", fmt::format("revision {}", status.configurationRevision));
    text += fmt::format("\n{:<20} {:<16} {:<10} {:>8} {:>6}  {}\n", "entry host", "failure domain", "state", "revision", "open", "incarnation");
    for (const EntryHostStatus& host : status.entryHosts) {
        text += fmt::format("{:<20} {:<16} {:<10} {:>8} {:>6}  {}\n", host.name, host.failureDomain, host.state, host.configurationRevision, host.openRequests, host.incarnation);
    }
    text += fmt::format("\n{:<20} {:<16} {:<10} {:>6}  {}\n", "backend server", "failure domain", "state", "open", "pool");
    for (const BackendServerStatus& server : status.backendServers) {
        text += fmt::format("{:<20} {:<16} {:<10} {:>6}  {}\n", server.name, server.failureDomain, server.state, server.openRequests, server.pool);
    }
    return text;
}

std::string presentText(const AccountReport& report)
{
    std::string text = line("request", report.requestId) + line("service", report.service) + line("customer", report.customer);
    if (!report.idempotencyKey.empty()) {
        text += line("key", report.idempotencyKey);
    }
    if (report.accepted) {
        text += line("accepted", fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(*report.accepted)));
    }
    text += line("result", report.ended ? describeResult(report.result) : std::string { "still open" });
    if (report.ended) {
        text += line("meaning", resultInfo(report.result).text);
    }
    text += line("run", fmt::format("{}{}", describeRun(report.run), report.ended ? "" : " so far"));
    if (report.duration) {
        text += line("took", fmt::format("{} ms", report.duration->count()));
    }
    text += line("tokens", std::to_string(report.tokensDelivered));
    for (size_t index = 0; index < report.attempts.size(); ++index) {
        const AttemptReport& attempt = report.attempts[index];
        text += line(fmt::format("attempt {}", index + 1), fmt::format("{} after {} ms: {}, {}", attempt.backendServer, attempt.sinceAccepted.count(), describeResult(attempt.result), describeRun(attempt.run)));
    }
    return text;
}

std::string presentText(const DrainReport& report)
{
    return fmt::format("{} takes no new work; {} left\n", report.name, plural(report.openRequests, "open request"));
}

std::string presentText(const LastReason& reason)
{
    return fmt::format("siskinctl: {} ({})\n", reason.detail, describeResult(reason.code));
}

} // namespace siskinspread
