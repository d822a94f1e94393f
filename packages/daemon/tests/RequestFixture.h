#pragma once

#include "HostFixture.h"

#include "siskinspread/AdmissionDesk.h"
#include "siskinspread/LogWriter.h"
#include "siskinspread/ModelRequests.h"
#include "siskinspread/OwnerDesk.h"
#include "siskinspread/PlainRequests.h"

namespace siskinspread {

/** Host "a", which owns every slice, before the plain service "ledger" with one server and the model "drafts" with three. */
struct RequestFixture : HostFixture {
    RequestFixture()
    {
        schema::Configuration configuration;
        configuration.set_revision(1);
        schema::Service& holds = addService(configuration, "ledger", schema::PLAIN, 1);
        schema::NonRepeatableCall& call = *holds.add_non_repeatable_calls();
        call.set_method("POST");
        call.set_path_prefix("/holds");
        schema::Service& model = addService(configuration, "drafts", schema::MODEL, 3);
        model.set_first_token_target_ms(900);
        model.set_instruction_tokens(128);
        pools.apply(configuration);
        for (const auto& [name, pool] : pools.services()) {
            for (BackendServerView& server : pool->view.servers) {
                setBackendStatus(server, BackendStatus::Live, context.now - std::chrono::hours(1));
            }
        }
        pools.refresh();
        for (uint32_t slice = 0; slice < desk.options().slices.sliceCount; ++slice) {
            desk.takeSlice({ .slice = slice, .assignment = { .owner = context.incarnation, .generation = 1, .previous = {} }, .histories = {} });
        }
    }

    static schema::Service& addService(schema::Configuration& configuration, const std::string& name, schema::ServiceKind kind, int servers)
    {
        schema::Service& service = *configuration.add_services();
        service.set_name(name);
        service.set_pool(name);
        service.set_kind(kind);
        service.set_max_attempts(3);
        service.set_progress_timeout_ms(5000);
        service.mutable_weights()->set_latency_bound_cost(1);
        for (int i = 0; i < servers; ++i) {
            schema::BackendServer& server = *service.add_backend_servers();
            server.set_name(name + "-" + std::to_string(i));
            server.set_address("10.0.0.1:" + std::to_string(8000 + i));
            server.set_failure_domain("one");
        }
        return service;
    }

    void hold(const std::string& customer, const std::string& key, std::chrono::milliseconds timeLeft = std::chrono::seconds(20))
    {
        desk.submit({ .key = { .customer = customer, .text = key }, .service = "ledger", .method = "POST", .path = "/holds", .body = key, .entryHost = "a", .timeLeft = timeLeft },
            [this](const AnswerRequest& answer) { answers.push_back(answer); });
    }

    void readStock(const std::string& customer)
    {
        plain.accept({ .exchange = ++lastExchange, .method = "GET", .target = "/ledger/stock/haldi", .headers = {}, .body = {} }, pools.find("ledger"), "/stock/haldi", customer, std::chrono::seconds(20));
    }

    static nlohmann::json draftBody(const std::string& prompt)
    {
        nlohmann::json body;
        body["model"] = "drafts";
        body["stream"] = true;
        body["messages"] = nlohmann::json::array({ { { "role", "user" }, { "content", prompt } } });
        return body;
    }

    void draft(const std::string& prompt)
    {
        models.accept({ .exchange = ++lastExchange, .method = "POST", .target = "/v1/chat/completions", .headers = {}, .body = draftBody(prompt).dump() }, "large", std::chrono::seconds(60));
    }

    /** Lets time pass; the platform takes every write at once. */
    void pass(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds turn { 10 };
        for (const MonotonicTime end = context.now + time; context.now < end;) {
            context.now += turn;
            timers.run(context.now);
            desk.tick();
            writer.tick();
            while (const auto write = platform.take("log/")) {
                answer(*write, 201, {});
            }
        }
    }

    /** @return calls that are open at the ledger with this text as key or path. */
    size_t dispatched(const std::string& text) const
    {
        return static_cast<size_t>(std::count_if(backendServers.open.begin(), backendServers.open.end(), [&text](const auto& o) { return (o.transfer.url + o.transfer.body).find(text) != std::string::npos; }));
    }

    ServicePools pools { context };
    AdmissionDesk admissions { context, timers, pools };
    LogWriter writer { context, { .url = "http://store" } };
    RequestRegister requests { context, writer };
    OwnerDesk desk { context, { .pools = pools, .admissions = admissions, .requests = requests, .log = writer } };
    PlainRequests plain { context, timers, admissions, requests };
    ModelRequests models { context, { .timers = timers, .pools = pools, .admissions = admissions, .requests = requests } };
    std::vector<AnswerRequest> answers;
    ExchangeId lastExchange { 0 };
};

} // namespace siskinspread
