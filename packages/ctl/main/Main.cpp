// siskinctl: the command-line client for operators and support engineers.

#include "siskinspread/RunCommand.h"

#include <iostream>
#include <string>
#include <vector>

namespace siskinspread {

namespace {

    /** Answers for the commands that need the network while no client for it is linked in. */
    class UnavailableOperatorApi final : public OperatorApi {
    public:
        std::optional<PublishReport> publish(const PublishArguments&, std::span<const ServiceDocument>, LastReason& reason) override { return unavailable(reason); }
        std::optional<SystemStatus> status(const StatusArguments&, LastReason& reason) override { return unavailable(reason); }
        std::optional<AccountAnswer> account(const AccountArguments&, LastReason& reason) override { return unavailable(reason); }
        std::optional<DrainReport> drain(const DrainArguments&, LastReason& reason) override { return unavailable(reason); }

    private:
        static std::nullopt_t unavailable(LastReason& reason)
        {
            return fail(reason, ResultCode::InternalError, "this build has no network client; only check works");
        }
    };

} // namespace

} // namespace siskinspread

int main(int argumentCount, char** arguments)
{
    const std::vector<std::string> words { arguments + 1, arguments + argumentCount };
    siskinspread::UnavailableOperatorApi api;
    return static_cast<int>(siskinspread::runCommand(words, api, { .output = std::cout, .errors = std::cerr }));
}
