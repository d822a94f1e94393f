#pragma once

#include "siskinspread/OperatorApi.h"

#include <functional>
#include <string>

namespace siskinspread {

/** The operators' calls over HTTP. Thread safety: used by one thread. */
class NetworkOperatorApi final : public OperatorApi {
public:
    /**
     * @param publisher who publishes, for the history that other operators see.
     * @param drawPublishId returns a text that no other publish has used.
     */
    NetworkOperatorApi(std::string publisher, std::function<std::string()> drawPublishId);

    std::optional<PublishReport> publish(const PublishArguments&, std::span<const ServiceDocument>, LastReason&) override;
    std::optional<SystemStatus> status(const StatusArguments&, LastReason&) override;
    std::optional<AccountAnswer> account(const AccountArguments&, LastReason&) override;
    std::optional<DrainReport> drain(const DrainArguments&, LastReason&) override;

private:
    const std::string m_publisher;
    const std::function<std::string()> m_drawPublishId;
};

} // namespace siskinspread
