#include "siskinspread/RunCommand.h"

#include "ServiceFileSet.h"
#include "siskinspread/Presentation.h"
#include "siskinspread/SettingsFile.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <ostream>

namespace siskinspread {

namespace {

    /** Runs one parsed command; one overload of operator() for each kind. */
    struct Runner {
        OperatorApi& api;
        CommandStreams streams;

        ExitCode operator()(const ShowText& show)
        {
            streams.output << show.text;
            return ExitCode::Success;
        }

        ExitCode operator()(const CheckArguments& arguments)
        {
            ServiceFileSet set = readServiceFiles(arguments.serviceFiles, {});
            CheckReport report { .files = set.files + arguments.settingsFiles.size(), .problems = std::move(set.problems) };
            for (const std::string& file : arguments.settingsFiles) {
                LastReason reason;
                std::vector<SettingsProblem> problems;
                loadSettings(file, reason, &problems);
                report.problems.insert(report.problems.end(), problems.begin(), problems.end());
            }
            show(report, arguments.common);
            return report.problems.empty() ? ExitCode::Success : ExitCode::Invalid;
        }

        ExitCode operator()(const PublishArguments& arguments)
        {
            const ServiceFileSet set = readServiceFiles(arguments.serviceFiles, { .allowUnknownCustomers = true });
            if (!set.problems.empty()) {
                return showError({ .code = ResultCode::InvalidConfiguration, .detail = "nothing was published:\n" + formatProblems(set.problems) }, arguments.common);
            }
            LastReason reason;
            const std::optional<PublishReport> report = api.publish(arguments, set.documents, reason);
            if (!report) {
                return showError(reason, arguments.common);
            }
            show(*report, arguments.common);
            const bool everywhere = report->spread && report->spread->liveHosts && report->spread->inForce >= report->spread->liveHosts;
            return !arguments.wait || everywhere ? ExitCode::Success : ExitCode::NotYet;
        }

        ExitCode operator()(const StatusArguments& arguments)
        {
            LastReason reason;
            return showOrFail(api.status(arguments, reason), arguments.common, reason);
        }

        ExitCode operator()(const AccountArguments& arguments)
        {
            LastReason reason;
            return showOrFail(api.account(arguments, reason), arguments.common, reason);
        }

        ExitCode operator()(const DrainArguments& arguments)
        {
            LastReason reason;
            const std::optional<DrainReport> report = api.drain(arguments, reason);
            const ExitCode code = showOrFail(report, arguments.common, reason);
            return report && arguments.wait && !report->hasEnded ? ExitCode::NotYet : code;
        }

        ExitCode operator()(const LossesArguments& arguments)
        {
            RequestLosses losses { { .late = arguments.late } };
            for (const std::string& name : arguments.files) {
                if (name == "-") {
                    losses.read(std::cin);
                    continue;
                }
                std::ifstream file { name };
                if (!file) {
                    return showError({ .code = ResultCode::MalformedRequest, .detail = "cannot read " + name }, arguments.common);
                }
                losses.read(file);
            }
            show(losses.report(), arguments.common);
            return ExitCode::Success;
        }

        template <typename Report>
        void show(const Report& report, const CommonArguments& common)
        {
            streams.output << (common.output == OutputFormat::Json ? presentJson(report) : presentText(report));
        }

        ExitCode showError(const LastReason& reason, const CommonArguments& common)
        {
            if (common.output == OutputFormat::Json) {
                streams.output << presentJson(reason);
            } else {
                streams.errors << presentText(reason);
            }
            return exitCodeFor(reason.code);
        }

        template <typename Report>
        ExitCode showOrFail(const std::optional<Report>& report, const CommonArguments& common, const LastReason& reason)
        {
            if (!report) {
                return showError(reason, common);
            }
            show(*report, common);
            return ExitCode::Success;
        }
    };

} // namespace

ExitCode runCommand(std::span<const std::string> arguments, OperatorApi& api, CommandStreams streams)
{
    LastReason reason;
    const std::optional<Command> command = parseCommandLine(arguments, reason);
    if (!command) {
        streams.errors << "siskinctl: " << reason.detail << "\n";
        return ExitCode::Usage;
    }
    return std::visit(Runner { .api = api, .streams = streams }, *command);
}

} // namespace siskinspread
