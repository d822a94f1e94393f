#include "siskinspread/DutyView.h"

#include <algorithm>
#include <memory>

namespace siskinspread {

namespace {

    constexpr const char* dutiesMethod = "duties";

    struct Collection {
        std::vector<HeldDuty> duties;
        size_t waiting { 0 };
        DutyView::Done done;
    };

    HeldDuty dutyOf(const nlohmann::json& object)
    {
        HeldDuty duty { .duty = object.value("duty", ""), .holder = object.value("holder", ""), .fencingNumber = object.value("fencing_number", uint64_t { 0 }), .engines = {} };
        for (const auto& engine : object.value("engines", nlohmann::json::array())) {
            duty.engines.push_back({ .server = engine.value("backend_server", ""), .wanted = engine.value("wanted", ""), .loaded = engine.value("loaded", ""), .isHeldBack = engine.value("held_back", false) });
        }
        return duty;
    }

    /** Takes what a peer told; what does not have the right form is left out. */
    void addDuties(std::vector<HeldDuty>& duties, const std::string& text)
    {
        try {
            for (const auto& object : nlohmann::json::parse(text)) {
                duties.push_back(dutyOf(object));
            }
        } catch (const nlohmann::json::exception&) {
            return;
        }
    }

    void finish(Collection& collection)
    {
        std::sort(collection.duties.begin(), collection.duties.end(), [](const HeldDuty& a, const HeldDuty& b) { return a.duty < b.duty; });
        collection.done(collection.duties);
    }

} // namespace

nlohmann::json dutiesJson(const std::vector<HeldDuty>& duties)
{
    nlohmann::json list = nlohmann::json::array();
    for (const HeldDuty& duty : duties) {
        nlohmann::json engines = nlohmann::json::array();
        for (const EngineOrderView& engine : duty.engines) {
            engines.push_back({ { "backend_server", engine.server }, { "wanted", engine.wanted }, { "loaded", engine.loaded }, { "held_back", engine.isHeldBack } });
        }
        list.push_back({ { "duty", duty.duty }, { "holder", duty.holder }, { "fencing_number", duty.fencingNumber }, { "engines", engines } });
    }
    return list;
}

DutyView::DutyView(HostContext& context, Parts parts)
    : m_context(context)
    , m_parts(std::move(parts))
{
    m_parts.calls.methods().registerMethod(dutiesMethod, [this](const std::string&) { return RpcOutcome { dutiesJson(ownDuties()).dump() }; });
}

std::vector<HeldDuty> DutyView::ownDuties() const
{
    const auto held = m_parts.lease.heldFencingNumber();
    if (!held) {
        return {};
    }
    return { { .duty = m_parts.lease.duty(), .holder = m_context.settings.host().name(), .fencingNumber = *held, .engines = m_parts.orders.views() } };
}

void DutyView::collect(Done done) const
{
    const std::vector<std::string> hosts = m_parts.otherHosts();
    const auto collection = std::make_shared<Collection>(Collection { .duties = ownDuties(), .waiting = hosts.size(), .done = std::move(done) });
    if (hosts.empty()) {
        finish(*collection);
        return;
    }
    for (const std::string& host : hosts) {
        m_parts.calls.call(host, dutiesMethod, "{}", [collection](const RpcOutcome& outcome) {
            if (outcome.ok()) {
                addDuties(collection->duties, outcome.resultJson);
            }
            if (!--collection->waiting) {
                finish(*collection);
            }
        });
    }
}

} // namespace siskinspread
