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

    std::string_view describeStanding(AccountStanding standing)
    {
        switch (standing) {
        case AccountStanding::Final:
            return "final";
        case AccountStanding::InProgress:
            return "still open";
        case AccountStanding::Provisional:
            return "provisional: the record may still be completed, and will not say the opposite";
        case AccountStanding::NotFound:
            break;
        }
        return "not found";
    }

    /** @return nothing for a time that is not known. */
    std::string timeLine(std::string_view name, WallTime time)
    {
        return time == WallTime {} ? std::string {} : line(name, fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(time)));
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
    const RevisionSpread spread = revisionSpread({ status }, status.configurationRevision);
    text += line("in force", fmt::format("on {} of {}", spread.inForce, plural(spread.liveHosts, "live host")));
    text += fmt::format("\n{:<20} {:<16} {:<10} {:>8} {:>6}  {}\n", "entry host", "failure domain", "state", "revision", "open", "incarnation");
    for (const EntryHostStatus& host : status.entryHosts) {
        text += fmt::format("{:<20} {:<16} {:<10} {:>8} {:>6}  {}\n", host.name, host.failureDomain, host.state, host.configurationRevision, host.openRequests, host.incarnation);
    }
    text += fmt::format("\n{:<20} {:<16} {:<10} {:>6}  {}\n", "backend server", "failure domain", "state", "open", "pool");
    for (const BackendServerStatus& server : status.backendServers) {
        text += fmt::format("{:<20} {:<16} {:<10} {:>6}  {}\n", server.name, server.failureDomain, server.state, server.openRequests, server.pool);
    }
    text += fmt::format("\n{:<36} {:<20} {:>8}\n", "duty", "held by", "fencing");
    for (const DutyStatus& duty : status.duties) {
        text += fmt::format("{:<36} {:<20} {:>8}\n", duty.duty, duty.holder, duty.fencingNumber);
        for (const OrderedEngineStatus& engine : duty.engines) {
            text += fmt::format("  {:<18} has {}; wanted {}{}\n", engine.backendServer, engine.loaded.empty() ? "not read yet" : engine.loaded, engine.wanted, engine.heldBack ? "; out of routing" : "");
        }
    }
    return text;
}

std::string presentText(const AccountAnswer& answer)
{
    const AccountEntry& account = answer.account;
    const bool open = answer.standing == AccountStanding::InProgress;
    std::string text = line("request", formatRequestId(answer.request)) + line("standing", describeStanding(answer.standing));
    text += line("service", account.service) + line("customer", account.customer);
    if (answer.key) {
        text += line("key", answer.key->text);
    }
    if (!open) {
        text += line("result", describeResult(account.result)) + line("meaning", resultInfo(account.result).text);
    }
    text += line("run", fmt::format("{}{}", describeRun(account.runState), open ? " so far" : ""));
    text += timeLine("accepted", account.acceptedAt) + timeLine("finished", account.finishedAt);
    text += line("attempts", account.attemptsKnown ? std::to_string(account.attempts) : "unknown");
    for (const std::string& server : account.backendServers) {
        text += line("sent to", server);
    }
    for (const std::string& server : account.candidates) {
        text += line("maybe sent to", server);
    }
    text += line("entry host", account.entryHost) + line("recorded by", answer.recordedBy);
    return answer.advice.empty() ? text : text + line("advice", answer.advice);
}

std::string presentText(const DrainReport& report)
{
    const char* begin = report.alreadyDraining ? "was draining already" : "takes no new work";
    if (report.hasEnded) {
        return fmt::format("{} {} and has ended; {} when last seen\n", report.name, begin, plural(report.openRequests, "open request"));
    }
    return fmt::format("{} {}; {} left, for at most {} ms\n", report.name, begin, plural(report.openRequests, "open request"), report.graceLeft.count());
}

std::string presentText(const LossReport& report)
{
    std::string text = fmt::format("{} answered, {} in time\n", plural(report.answered, "request"), report.inTime);
    if (report.unreadable > 0 || report.leftOut > 0) {
        text += fmt::format("{} unreadable, {} left out by the hosts: the counts are too low\n", plural(report.unreadable, "line"), report.leftOut);
    }
    for (const LossRow& row : report.rows) {
        text += fmt::format("{:>8}  {}: {}{}\n{:>8}  {} to {}, first {}\n", row.requests, row.result, row.why, row.run.empty() ? "" : " (" + row.run + ")", "", row.firstAt, row.lastAt, row.example);
    }
    return text;
}

std::string presentText(const LastReason& reason)
{
    return fmt::format("siskinctl: {} ({})\n", reason.detail, describeResult(reason.code));
}

} // namespace siskinspread
