#pragma once

#include "CommonFaults.h"
#include "EventLoop.h"
#include "LaggedValue.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread::standin {

struct CloudOptions {
    std::chrono::milliseconds listLag { 0 };
    double weightsPerSecond { 0 }; /**< Rate of the weight store; 0 for no limit. */
    bool checksFencing { false };
};

enum class HostState : uint8_t {
    Running,
    Leaving,
    Ended,
};

struct CloudHost {
    std::string name;
    std::string hostClass;
    std::string failureDomain;
    std::string address;
    bool isReclaimable { true };
    HostState state { HostState::Running };
    double pricePerHour { 0 };
    std::optional<std::chrono::system_clock::time_point> noticeAt;
    std::optional<std::chrono::system_clock::time_point> endsAt;
};

struct ReclaimNotice {
    uint64_t sequence { 0 };
    std::string host;
    std::chrono::system_clock::time_point at;
    std::chrono::seconds lead { 0 }; /**< From the notice to the end of the host. */
};

struct CloudFaults {
    CommonFaults common;
    uint64_t refuseStarts { 0 };
    uint64_t loseNextAnswers { 0 }; /**< Of orders that took effect. */
    bool holdNotices { false }; /**< GET /notices tells of none. */
    std::optional<std::vector<CloudHost>> frozenList; /**< What GET /host-list answers, whatever happens. */
};

/** A rate limit with a burst of one second. */
struct TokenBucket {
    double perSecond { 0 };
    double tokens { 0 };
    std::chrono::steady_clock::time_point filledAt;
};

/** Stand-in for the cloud API, the list of hosts and the weight store. Thread safety: the event loop's thread only. */
class Cloud {
public:
    Cloud(CloudOptions options, EventLoop& loop);

    void handle(const Call& call, const Responder& responder);

private:
    void handleControl(const Call& call, const Responder& responder);
    void serve(const Call& call, const Responder& responder);
    void createHost(const Call& call, const Responder& responder);
    void removeHost(const std::string& name, const Call& call, const Responder& responder);
    bool passesFencing(uint64_t fencing, const Responder& responder);
    void answerOrder(int status, const CloudHost& host, const Responder& responder);
    CloudHost& addHost(const nlohmann::json& description);
    void giveNotice(const nlohmann::json& order);
    void endHosts(const std::vector<std::string>& names);
    std::vector<std::string> selectHosts(const nlohmann::json& order) const;
    void setPrices(const nlohmann::json& prices);
    void publishList();
    void sendHosts(const Responder& responder) const;
    void sendHost(const std::string& name, const Responder& responder) const;
    void sendHostList(const Responder& responder);
    void sendNotices(const Call& call, const Responder& responder) const;
    void sendWeights(const std::string& name, const Responder& responder);
    bool setFault(const std::string& name, const nlohmann::json& value);

    CloudOptions m_options;
    EventLoop& m_loop;
    CloudFaults m_faults;
    std::map<std::string, CloudHost> m_hosts; /**< By name. */
    LaggedValue<std::vector<CloudHost>> m_list;
    std::vector<ReclaimNotice> m_notices;
    std::map<std::string, std::map<std::string, double>> m_prices; /**< By class and failure domain. */
    TokenBucket m_weightRate;
    uint64_t m_highestFencing { 0 };
    uint64_t m_lastName { 0 };
};

} // namespace siskinspread::standin
