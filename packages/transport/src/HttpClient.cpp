#include "siskinspread/HttpClient.h"

#include "CurlTransfer.h"
#include "siskinspread/BoundedRing.h"

#include <atomic>
#include <deque>
#include <thread>
#include <unordered_map>

namespace siskinspread {

namespace {

    struct CurlMultiDelete {
        void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
    };

    // While events wait for a full ring the loop tries again this often.
    constexpr int redeliverIntervalMilliseconds = 1;

} // namespace

class HttpClient::Implementation {
public:
    Implementation(HttpClientOptions options, Deliver deliver)
        : m_options(options)
        , m_deliver(std::move(deliver))
        , m_multi(curl_multi_init())
        , m_commands(m_options.commandCapacity, [this] { curl_multi_wakeup(m_multi.get()); })
    {
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, static_cast<long>(m_options.maxConnections));
    }

    ~Implementation() { stop(); }

    void start()
    {
        m_thread = std::thread { [this] { run(); } };
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        m_stopping.store(true, std::memory_order_release);
        curl_multi_wakeup(m_multi.get());
        m_thread.join();
    }

    bool tryCommand(ClientCommand& command)
    {
        auto message = std::make_unique<ClientCommand>(std::move(command));
        if (m_commands.tryPush(message)) {
            return true;
        }
        command = std::move(*message);
        return false;
    }

private:
    void run()
    {
        while (!m_stopping.load(std::memory_order_acquire)) {
            takeCommands();
            int running = 0;
            curl_multi_perform(m_multi.get(), &running);
            takeFinished();
            flushEvents();
            const int wait = m_pending.empty() ? static_cast<int>(m_options.pollInterval.count()) : redeliverIntervalMilliseconds;
            curl_multi_poll(m_multi.get(), nullptr, 0, wait, nullptr);
        }
        for (auto& [id, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi.get(), transfer->handle());
        }
        m_transfers.clear();
    }

    void takeCommands()
    {
        while (auto command = m_commands.tryPop()) {
            if (const auto* start = std::get_if<StartTransfer>(command.get())) {
                begin(*start);
            } else {
                cancel(std::get<CancelTransfer>(*command).transfer);
            }
        }
    }

    void begin(const StartTransfer& request)
    {
        if (request.startBefore && std::chrono::steady_clock::now() >= *request.startBefore) {
            emit(TransferEnded { .transfer = request.transfer, .end = TransferEnd::NothingSent, .status = 0, .headers = {}, .body = {}, .detail = "too late to be sent" });
            return;
        }
        auto transfer = std::make_unique<CurlTransfer>(request, [this](ClientEvent&& event) { return emit(std::move(event)); });
        curl_multi_add_handle(m_multi.get(), transfer->handle());
        m_transfers.emplace(request.transfer, std::move(transfer));
    }

    void cancel(TransferId id)
    {
        const auto entry = m_transfers.find(id);
        if (entry == m_transfers.end()) {
            return;
        }
        curl_multi_remove_handle(m_multi.get(), entry->second->handle());
        m_transfers.erase(entry);
        emit(TransferEnded { .transfer = id, .end = TransferEnd::Cancelled, .status = 0, .headers = {}, .body = {}, .detail = {} });
    }

    void takeFinished()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(m_multi.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CurlTransfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            const CURLcode result = message->data.result;
            curl_multi_remove_handle(m_multi.get(), message->easy_handle);
            const auto entry = m_transfers.find(transfer->id());
            emit(transfer->finish(result));
            m_transfers.erase(entry);
        }
    }

    // Data is refused, and its transfer paused, while earlier events wait; the rest is bounded by the open transfers.
    bool emit(ClientEvent&& event)
    {
        if (!m_pending.empty() && std::holds_alternative<TransferData>(event)) {
            return false;
        }
        m_pending.push_back(std::make_unique<ClientEvent>(std::move(event)));
        flushEvents();
        return true;
    }

    void flushEvents()
    {
        while (!m_pending.empty() && m_deliver(m_pending.front())) {
            m_pending.pop_front();
        }
        if (m_pending.empty()) {
            m_resumeWanted = true;
        }
        resumePaused();
    }

    // curl_easy_pause may call back into emit, which must not recurse.
    void resumePaused()
    {
        if (!m_resumeWanted || m_resuming) {
            return;
        }
        m_resuming = true;
        m_resumeWanted = false;
        for (auto& [id, transfer] : m_transfers) {
            if (transfer->isPaused()) {
                transfer->resume();
            }
        }
        m_resuming = false;
    }

    const HttpClientOptions m_options;
    const Deliver m_deliver;
    std::unique_ptr<CURLM, CurlMultiDelete> m_multi;
    BoundedRing<ClientCommand> m_commands;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
    std::unordered_map<TransferId, std::unique_ptr<CurlTransfer>> m_transfers;
    std::deque<std::unique_ptr<ClientEvent>> m_pending;
    bool m_resumeWanted { false };
    bool m_resuming { false };
};

HttpClient::HttpClient(HttpClientOptions options, Deliver deliver)
    : m_implementation(std::make_unique<Implementation>(options, std::move(deliver)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::start()
{
    m_implementation->start();
}

void HttpClient::stop()
{
    m_implementation->stop();
}

bool HttpClient::tryCommand(ClientCommand& command)
{
    return m_implementation->tryCommand(command);
}

} // namespace siskinspread
