#include "EventLoop.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <exception>
#include <set>
#include <stdexcept>
#include <vector>

namespace siskinspread::standin {
namespace {

    constexpr size_t maxBodySize = size_t { 16 } * 1024 * 1024;

    /** Longer than any test: the stand-ins hold calls open on purpose. */
    constexpr std::chrono::hours httpTimeout { 24 };

    /** With more than one, the server keeps reading while it answers and so notices that the caller has gone. */
    constexpr size_t maxPipelinedRequests = 2;

    constexpr std::string_view controlPrefix = "/control/";

    restinio::http_status_line_t statusLine(int status)
    {
        return { restinio::http_status_code_t(static_cast<uint16_t>(status)), status < 400 ? "OK" : "Error" };
    }

} // namespace

std::string Call::header(const std::string& lowerCaseName) const
{
    auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

uint64_t Call::queryNumber(const std::string& name, uint64_t fallback) const
{
    auto found = query.find(name);
    return found == query.end() ? fallback : std::stoull(found->second);
}

/** The connections that are open and those that were made silent. */
struct ConnectionTable {
    std::map<restinio::connection_id_t, std::vector<std::weak_ptr<Responder::Impl>>> open;
    std::set<restinio::connection_id_t> silenced;
};

struct Responder::Impl {
    using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

    restinio::request_handle_t request;
    restinio::impl::connection_handle_t connection; /**< Kept, since a response builder takes the request's own. */
    std::shared_ptr<ConnectionTable> connections;
    bool isControl { false };
    bool isComplete { false };
    restinio::optional_t<Stream> stream;
    std::function<void()> callerGone;

    bool isMuted() const { return !isControl && connections->silenced.count(request->connection_id()) > 0; }

    bool canAnswer() const { return !isComplete && !isMuted(); }

    /** Releases what refers to the caller, which may refer to this object in turn. */
    void complete()
    {
        isComplete = true;
        stream.reset();
        connection.reset();
        callerGone = nullptr;
    }
};

Responder::Responder(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

void Responder::send(int status, std::string body, const Headers& headers) const
{
    if (!m_impl->canAnswer()) {
        return;
    }
    auto response = m_impl->request->create_response(statusLine(status));
    for (const auto& [name, value] : headers) {
        response.append_header(name, value);
    }
    response.set_body(std::move(body));
    response.done();
    m_impl->complete();
}

void Responder::startStream(int status, const Headers& headers) const
{
    if (!m_impl->canAnswer()) {
        return;
    }
    m_impl->stream.emplace(m_impl->request->create_response<restinio::chunked_output_t>(
        statusLine(status)));
    for (const auto& [name, value] : headers) {
        m_impl->stream->append_header(name, value);
    }
    m_impl->stream->flush();
}

void Responder::write(std::string chunk) const
{
    if (m_impl->canAnswer() && m_impl->stream) {
        m_impl->stream->append_chunk(std::move(chunk)).flush();
    }
}

void Responder::finish() const
{
    if (m_impl->canAnswer() && m_impl->stream) {
        m_impl->stream->done();
        m_impl->complete();
    }
}

void Responder::closeConnection() const
{
    if (!m_impl->canAnswer()) {
        return;
    }
    // RESTinio has no public call for this: an empty last part makes it close the connection.
    const restinio::response_output_flags_t flags { restinio::response_parts_attr_t::final_parts,
        restinio::response_connection_attr_t::connection_close };
    m_impl->connection->write_response_parts(m_impl->request->request_id(), flags, restinio::write_group_t { {} });
    m_impl->complete();
}

void Responder::onCallerGone(std::function<void()> callback) const
{
    if (!m_impl->isComplete) {
        m_impl->callerGone = std::move(callback);
    }
}

namespace {

    struct ConnectionListener {
        asio::io_context* context;
        std::shared_ptr<ConnectionTable> connections;

        void state_changed(const restinio::connection_state::notice_t& notice) const noexcept // NOLINT(readability-identifier-naming): RESTinio's name
        {
            if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
                connections->open[notice.connection_id()];
            } else {
                closed(notice.connection_id());
            }
        }

        void closed(restinio::connection_id_t id) const
        {
            auto entry = connections->open.extract(id);
            connections->silenced.erase(id);
            if (entry.empty()) {
                return;
            }
            for (auto& weak : entry.mapped()) {
                // Posted, since a stand-in may be in the middle of a write that found the connection closed.
                asio::post(*context, [weak] {
                    auto responder = weak.lock();
                    if (responder && !responder->isComplete) {
                        auto callerGone = std::move(responder->callerGone);
                        responder->complete();
                        if (callerGone) {
                            callerGone();
                        }
                    }
                });
            }
        }
    };

    struct ServerTraits : restinio::default_single_thread_traits_t {
        using connection_state_listener_t = ConnectionListener; // NOLINT(readability-identifier-naming): RESTinio's name
    };

    /** A plus sign in a path stands for itself, unlike in a query, where RESTinio's function makes it a space. */
    std::string decodePath(std::string_view path)
    {
        std::string escaped;
        for (const char c : path) {
            escaped += c == '+' ? std::string("%2B") : std::string(1, c);
        }
        return restinio::utils::unescape_percent_encoding<restinio::utils::relaxed_unescape_traits>(escaped);
    }

    Call toCall(const restinio::request_t& request)
    {
        Call call;
        call.method = request.header().method().c_str();
        call.path = decodePath(request.header().path());
        for (const auto& [name, value] : restinio::parse_query<restinio::parse_query_traits::relaxed>(request.header().query())) {
            call.query.emplace(std::string(name), std::string(value));
        }
        request.header().for_each_field([&call](const auto& field) {
            std::string name = field.name();
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            call.headers[name] = field.value();
        });
        call.body = request.body();
        return call;
    }

} // namespace

struct EventLoop::Impl {
    asio::io_context context { 1 };
    std::shared_ptr<ConnectionTable> connections = std::make_shared<ConnectionTable>();
    Handler handler;

    void handle(const restinio::request_handle_t& request)
    {
        auto impl = std::make_shared<Responder::Impl>();
        impl->request = request;
        impl->connection = restinio::impl::access_req_connection(*request);
        impl->connections = connections;
        auto& calls = connections->open[request->connection_id()];
        std::erase_if(calls, [](const auto& weak) { return weak.expired(); });
        calls.push_back(impl);
        const Responder responder(impl);
        try {
            const Call call = toCall(*request);
            impl->isControl = call.path.starts_with(controlPrefix);
            if (!impl->isMuted()) {
                handler(call, responder);
            }
        } catch (const std::exception& error) {
            responder.send(400, error.what());
        }
    }
};

EventLoop::EventLoop()
    : m_impl(std::make_unique<Impl>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::after(std::chrono::microseconds delay, std::function<void()> callback)
{
    auto timer = std::make_shared<asio::steady_timer>(m_impl->context, delay);
    timer->async_wait([timer, callback = std::move(callback)](const asio::error_code& error) {
        if (!error) {
            callback();
        }
    });
}

void EventLoop::silenceOpenConnections()
{
    for (const auto& [id, calls] : m_impl->connections->open) {
        m_impl->connections->silenced.insert(id);
    }
}

int EventLoop::serve(uint16_t port, Handler handler)
{
    m_impl->handler = std::move(handler);
    uint16_t boundPort = 0;
    restinio::server_settings_t<ServerTraits> settings;
    settings.address("127.0.0.1")
        .port(port)
        .max_pipelined_requests(maxPipelinedRequests)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t().max_body_size(maxBodySize))
        .handle_request_timeout(httpTimeout)
        .read_next_http_message_timelimit(httpTimeout)
        .write_http_response_timelimit(httpTimeout)
        .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); })
        .acceptor_post_bind_hook([&boundPort](asio::ip::tcp::acceptor& acceptor) { boundPort = acceptor.local_endpoint().port(); })
        .connection_state_listener(std::make_shared<ConnectionListener>(ConnectionListener { &m_impl->context, m_impl->connections }))
        .request_handler([this](const restinio::request_handle_t& request) {
            m_impl->handle(request);
            return restinio::request_accepted();
        });
    try {
        restinio::http_server_t<ServerTraits> server(restinio::external_io_context(m_impl->context), std::move(settings));
        server.open_sync();
        asio::signal_set signals(m_impl->context, SIGTERM, SIGINT);
        signals.async_wait([this](const asio::error_code&, int) { m_impl->context.stop(); });
        std::printf("listening 127.0.0.1:%u\n", static_cast<unsigned>(boundPort));
        std::fflush(stdout);
        m_impl->context.run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cannot serve: %s\n", error.what());
        return 1;
    }
    return 0;
}

} // namespace siskinspread::standin
