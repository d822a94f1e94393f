#include "siskinspread/HttpServer.h"

#include "RefusingSocket.h"
#include "siskinspread/BoundedRing.h"

#include <restinio/all.hpp>

#include <future>
#include <thread>
#include <unordered_map>

namespace siskinspread {

namespace {

    // Requests time out by their own deadlines; RESTinio's timer must never cut a long stream.
    constexpr std::chrono::hours unlimitedHandling { 24 * 365 };
    constexpr size_t maxUrlBytes = 8192;
    constexpr size_t maxFieldNameBytes = 256;
    // With one request at a time RESTinio stops reading and would not see that the caller has closed.
    constexpr size_t pipelinedRequests = 2;

    class ConnectionListener;

    struct ServerTraits : public restinio::default_single_thread_traits_t {
        using connection_state_listener_t = ConnectionListener;
        using stream_socket_t = RefusingSocket;
        using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    };

    class ConnectionListener {
    public:
        explicit ConnectionListener(std::function<void(restinio::connection_id_t)> onClosed)
            : m_onClosed(std::move(onClosed))
        {
        }

        void state_changed(const restinio::connection_state::notice_t& notice) noexcept // NOLINT(readability-identifier-naming): RESTinio's name
        {
            if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
                m_onClosed(notice.connection_id());
            }
        }

    private:
        std::function<void(restinio::connection_id_t)> m_onClosed;
    };

    using ChunkedResponse = restinio::response_builder_t<restinio::chunked_output_t>;

    struct Exchange {
        restinio::request_handle_t request;
        restinio::connection_id_t connection { 0 };
        std::unique_ptr<ChunkedResponse> stream;
        std::shared_ptr<ConnectionProgress> open; // counts as an open exchange of its connection until released
        std::shared_ptr<size_t> unwrittenBytes = std::make_shared<size_t>(0);
    };

    /** @return a token that counts the request just handled as open until its last copy goes. */
    std::shared_ptr<ConnectionProgress> openExchange()
    {
        const auto progress = RefusingSocket::handled();
        if (!progress) {
            return nullptr;
        }
        progress->beginNextRequest();
        ++progress->openExchanges;
        return { progress.get(), [progress](ConnectionProgress* counted) { --counted->openExchanges; } };
    }

    template <typename Builder>
    void appendHeaders(Builder& builder, const HttpHeaders& headers)
    {
        for (const HttpHeader& header : headers) {
            builder.append_header(header.name, header.value);
        }
    }

    restinio::http_status_line_t statusLine(int status)
    {
        return { restinio::http_status_code_t { static_cast<uint16_t>(status) }, status < 400 ? "OK" : "Error" };
    }

} // namespace

class HttpServer::Implementation {
public:
    Implementation(HttpServerOptions options, HttpServerHandlers handlers)
        : m_options(std::move(options))
        , m_handlers(std::move(handlers))
        , m_commands(m_options.commandCapacity, [this] { wake(); })
    {
        auto& refusals = restinio::asio_ns::use_service<RefusalSource>(*m_context);
        refusals.maxBodyBytes = m_options.maxBodyBytes;
        refusals.make = m_handlers.refusal;
    }

    std::optional<uint16_t> start(LastReason& reason)
    {
        uint16_t port = 0;
        try {
            m_server = std::make_unique<restinio::http_server_t<ServerTraits>>(restinio::external_io_context(*m_context), settings(port));
            m_server->open_sync();
        } catch (const std::exception& error) {
            return fail(reason, ResultCode::InvalidSettings, "cannot listen on " + m_options.address + ": " + error.what());
        }
        m_thread = std::thread { [this] { m_context->run(); } };
        return port;
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        restinio::asio_ns::post(*m_context, [this] {
            m_exchanges.clear();
            m_byConnection.clear();
            m_server->close_sync();
            m_context->stop();
        });
        m_thread.join();
        m_server.reset();
        m_context.reset(); // destroys the pending operations and with them the open connections
    }

    bool tryCommand(ServerCommand& command)
    {
        auto message = std::make_unique<ServerCommand>(std::move(command));
        if (m_commands.tryPush(message)) {
            return true;
        }
        command = std::move(*message);
        return false;
    }

    void run(RespondWhole& command)
    {
        const auto entry = m_exchanges.find(command.exchange);
        if (entry == m_exchanges.end()) {
            return;
        }
        auto response = entry->second.request->create_response(statusLine(command.status));
        appendHeaders(response, command.headers);
        response.set_body(std::move(command.body));
        response.done([open = entry->second.open](const auto&) {});
        forget(entry);
    }

private:
    restinio::server_settings_t<ServerTraits> settings(uint16_t& port)
    {
        restinio::server_settings_t<ServerTraits> result;
        result.address(m_options.address)
            .port(m_options.port)
            .request_handler([this](auto request) { return accept(std::move(request)); })
            .connection_state_listener(std::make_shared<ConnectionListener>([this](auto connection) { closed(connection); }))
            .acceptor_post_bind_hook([&port](auto& acceptor) { port = acceptor.local_endpoint().port(); })
            // A head and its first chunk are two writes; Nagle's algorithm holds the second until the caller's delayed acknowledgement.
            .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
            .max_pipelined_requests(pipelinedRequests)
            .read_next_http_message_timelimit(m_options.readTimeout)
            .write_http_response_timelimit(m_options.writeTimeout)
            .handle_request_timeout(unlimitedHandling)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                          .max_url_size(maxUrlBytes)
                                          .max_field_name_size(maxFieldNameBytes)
                                          .max_field_value_size(m_options.maxHeaderValueBytes)
                                          .max_field_count(m_options.maxHeaderCount)
                                          .max_body_size(m_options.maxBodyBytes));
        return result;
    }

    restinio::request_handling_status_t accept(restinio::request_handle_t request)
    {
        const ExchangeId id = ++m_lastExchange;
        IncomingRequest incoming { .exchange = id, .method = request->header().method().c_str(), .target = request->header().request_target(), .headers = {}, .body = request->body() };
        request->header().for_each_field([&incoming](const auto& field) {
            incoming.headers.push_back({ .name = field.name(), .value = field.value() });
        });
        Exchange exchange;
        exchange.connection = request->connection_id();
        exchange.request = std::move(request);
        exchange.open = openExchange();
        m_byConnection.emplace(exchange.connection, id);
        m_exchanges.emplace(id, std::move(exchange));
        m_handlers.onRequest(std::move(incoming));
        return restinio::request_accepted();
    }

    void closed(restinio::connection_id_t connection)
    {
        const auto [begin, end] = m_byConnection.equal_range(connection);
        for (auto entry = begin; entry != end; ++entry) {
            m_exchanges.erase(entry->second);
            m_handlers.onClosed(entry->second);
        }
        m_byConnection.erase(begin, end);
    }

    void wake()
    {
        if (m_context && !m_wakePending.exchange(true, std::memory_order_acq_rel)) {
            restinio::asio_ns::post(*m_context, [this] { drain(); });
        }
    }

    void drain()
    {
        m_wakePending.store(false, std::memory_order_release);
        while (auto command = m_commands.tryPop()) {
            std::visit([this](auto& c) { run(c); }, *command);
        }
    }

    void run(StartStream& command)
    {
        const auto entry = m_exchanges.find(command.exchange);
        if (entry == m_exchanges.end() || entry->second.stream) {
            return;
        }
        entry->second.stream = std::make_unique<ChunkedResponse>(entry->second.request->create_response<restinio::chunked_output_t>(statusLine(command.status)));
        appendHeaders(*entry->second.stream, command.headers);
        entry->second.stream->flush();
    }

    void run(SendChunk& command)
    {
        const auto entry = m_exchanges.find(command.exchange);
        if (entry == m_exchanges.end() || !entry->second.stream) {
            return;
        }
        Exchange& exchange = entry->second;
        const size_t bytes = command.data.size();
        *exchange.unwrittenBytes += bytes;
        if (*exchange.unwrittenBytes > m_options.maxUnwrittenBytes) {
            abandon(entry);
            return;
        }
        exchange.stream->append_chunk(std::move(command.data));
        exchange.stream->flush([unwritten = exchange.unwrittenBytes, bytes](const auto&) { *unwritten -= bytes; });
    }

    void run(EndStream& command)
    {
        const auto entry = m_exchanges.find(command.exchange);
        if (entry == m_exchanges.end() || !entry->second.stream) {
            return;
        }
        entry->second.stream->done([open = entry->second.open](const auto&) {});
        forget(entry);
    }

    using ExchangeIterator = std::unordered_map<ExchangeId, Exchange>::iterator;

    void forget(ExchangeIterator entry)
    {
        const auto [begin, end] = m_byConnection.equal_range(entry->second.connection);
        for (auto connection = begin; connection != end; ++connection) {
            if (connection->second == entry->first) {
                m_byConnection.erase(connection);
                break;
            }
        }
        m_exchanges.erase(entry);
    }

    // The write timeout closes the connection of a caller that reads nothing.
    void abandon(ExchangeIterator entry)
    {
        const ExchangeId id = entry->first;
        if (entry->second.open) {
            entry->second.open->mayNotRefuse = true;
        }
        forget(entry);
        m_handlers.onClosed(id);
    }

    const HttpServerOptions m_options;
    const HttpServerHandlers m_handlers;
    std::unique_ptr<restinio::asio_ns::io_context> m_context = std::make_unique<restinio::asio_ns::io_context>();
    BoundedRing<ServerCommand> m_commands;
    std::atomic<bool> m_wakePending { false };
    std::unique_ptr<restinio::http_server_t<ServerTraits>> m_server;
    std::thread m_thread;
    ExchangeId m_lastExchange { 0 };
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::unordered_multimap<restinio::connection_id_t, ExchangeId> m_byConnection;
};

HttpServer::HttpServer(HttpServerOptions options, HttpServerHandlers handlers)
    : m_implementation(std::make_unique<Implementation>(std::move(options), std::move(handlers)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

std::optional<uint16_t> HttpServer::start(LastReason& reason)
{
    return m_implementation->start(reason);
}

void HttpServer::stop()
{
    m_implementation->stop();
}

void HttpServer::respondFromHandler(RespondWhole&& response)
{
    m_implementation->run(response);
}

bool HttpServer::tryCommand(ServerCommand& command)
{
    return m_implementation->tryCommand(command);
}

} // namespace siskinspread
