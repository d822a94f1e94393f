#pragma once

#include "siskinspread/HttpServer.h"

#include <restinio/asio_include.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace siskinspread {

/** What one connection has sent that is no request yet, and how many of its requests wait for their response. */
struct ConnectionProgress {
    size_t headBytes { 0 }; /**< Of the request that is arriving, up to the empty line. */
    size_t bodyBytes { 0 };
    size_t headEndMatched { 0 }; /**< Bytes of the empty line that have arrived. */
    size_t openExchanges { 0 };
    size_t openWrites { 0 };
    bool inHandler { false }; /**< RESTinio is working on bytes that arrived, so a close now is its verdict on them. */
    bool mayNotRefuse { false }; /**< The other end has closed, or a response was left incomplete. */

    void receive(std::string_view bytes);
    void beginNextRequest();
    bool canRefuse() const;
    ServerRefusal refusal(size_t maxBodyBytes) const;
};

/** Makes the responses to what never became a request; one for each io_context of a server. */
class RefusalSource : public restinio::asio_ns::execution_context::service {
public:
    using key_type = RefusalSource; // NOLINT(readability-identifier-naming): Asio's name
    static restinio::asio_ns::execution_context::id id;

    explicit RefusalSource(restinio::asio_ns::execution_context& context)
        : service(context)
    {
    }

    size_t maxBodyBytes { 0 };
    std::function<RespondWhole(ServerRefusal)> make;

private:
    void shutdown() override { }
};

/** Sends a response and drains what has arrived, so that the close does not reset the connection before it is read. */
void sendRefusalResponse(int descriptor, const RespondWhole&);

/**
 * The socket of a connection. RESTinio closes a connection without a word when a request can't be parsed, is larger
 * than its limits or arrives too slowly; this socket answers before it closes. Thread safety: server's thread only.
 */
class RefusingSocket : public restinio::asio_ns::ip::tcp::socket {
    using Base = restinio::asio_ns::ip::tcp::socket;
    using Error = restinio::asio_ns::error_code;

public:
    using Base::Base;

    // The acceptor accepts again into a socket that it has moved from, so that one needs a progress of its own.
    RefusingSocket(RefusingSocket&& other) noexcept
        : Base(std::move(other))
        , m_progress(std::exchange(other.m_progress, std::make_shared<ConnectionProgress>()))
    {
    }
    RefusingSocket(const RefusingSocket&) = delete;
    RefusingSocket& operator=(const RefusingSocket&) = delete;
    RefusingSocket& operator=(RefusingSocket&&) = delete;
    ~RefusingSocket() = default;

    // NOLINTBEGIN(readability-identifier-naming): Asio's names
    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        const auto executor = restinio::asio_ns::get_associated_executor(handler, get_executor());
        Base::async_read_some(buffers, restinio::asio_ns::bind_executor(executor, [progress = m_progress, buffers, handler = std::forward<Handler>(handler)](const Error& error, size_t bytes) mutable {
            progress->mayNotRefuse |= static_cast<bool>(error);
            progress->receive({ static_cast<const char*>(restinio::asio_ns::buffer(buffers).data()), bytes });
            const Handling handling { progress };
            handler(error, bytes);
        }));
    }

    template <typename Buffers, typename Handler>
    void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        const auto executor = restinio::asio_ns::get_associated_executor(handler, get_executor());
        ++m_progress->openWrites;
        Base::async_write_some(buffers, restinio::asio_ns::bind_executor(executor, [progress = m_progress, handler = std::forward<Handler>(handler)](const Error& error, size_t bytes) mutable {
            --progress->openWrites;
            progress->mayNotRefuse |= static_cast<bool>(error);
            const Handling handling { progress };
            handler(error, bytes);
        }));
    }

    void shutdown(shutdown_type what, Error& error)
    {
        const auto& source = restinio::asio_ns::use_service<RefusalSource>(get_executor().context());
        if (source.make && m_progress->canRefuse()) {
            m_progress->mayNotRefuse = true;
            sendRefusalResponse(native_handle(), source.make(m_progress->refusal(source.maxBodyBytes)));
        }
        Base::shutdown(what, error);
    }
    // NOLINTEND(readability-identifier-naming)

    /** @return the progress of the connection whose bytes are being handled, or null. */
    static std::shared_ptr<ConnectionProgress> handled() { return Handling::current; }

private:
    /** Marks the connection as the handled one during a call of its handler. */
    struct Handling {
        explicit Handling(std::shared_ptr<ConnectionProgress> progress)
        {
            current = std::move(progress);
            current->inHandler = true;
        }
        ~Handling()
        {
            current->inHandler = false;
            current.reset();
        }
        Handling(const Handling&) = delete;
        Handling& operator=(const Handling&) = delete;

        static thread_local inline std::shared_ptr<ConnectionProgress> current;
    };

    std::shared_ptr<ConnectionProgress> m_progress = std::make_shared<ConnectionProgress>();
};

} // namespace siskinspread
