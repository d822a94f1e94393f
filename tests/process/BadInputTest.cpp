#include "support/Deployment.h"
#include "support/Eventually.h"
#include "support/RawConnection.h"

#include <doctest/doctest.h>

using namespace siskinspread;
using namespace siskinspread::testing;
using nlohmann::json;

namespace {

constexpr const char* limits = "[limits]\nmax_body_bytes = 65536\nmax_header_bytes = 2048\nread_timeout_ms = 1500";
constexpr size_t maxBodyBytes = 65536;
constexpr size_t maxHeaderBytes = 2048;

/** One entry host before one engine, with small limits. */
struct Fixture {
    Deployment deployment { { .failureDomains = 1, .engines = 1, .hostSettings = limits } };

    HttpRequest chat() const { return deployment.chat(0, "a lens", 3); }

    HttpRequest chatWithBody(const std::string& body) const
    {
        HttpRequest request = chat();
        request.body = body;
        return request;
    }

    HttpRequest chatWithHeader(const std::string& header) const
    {
        HttpRequest request = chat();
        request.headers.push_back(header);
        return request;
    }

    double refusals(const std::string& reason) const
    {
        return deployment.metric(0, "siskinspread_refusals_total", "reason=\"" + reason + "\"");
    }

    void checkUnharmed() const
    {
        const auto answer = httpStream(chat());
        CHECK(answer.response.status == 200);
        REQUIRE_FALSE(answer.events.empty());
        CHECK(answer.events.back().data == "[DONE]");
        CHECK(deployment.metric(0, "siskinspread_open_requests", "") == 0);
    }

    void checkError(const std::string& body, int code) const
    {
        const json error = json::parse(body).at("error");
        CHECK(error.at("code") == code);
        CHECK(error.at("run_state") == "not_run");
    }

    /** Checks that a request is refused with this status, code and name, that it is counted and that the next passes. */
    void checkRefused(const HttpRequest& request, int status, int code, const std::string& reason) const
    {
        const double before = refusals(reason);
        const auto response = httpCall(request);
        CHECK(response.status == status);
        CHECK(response.isComplete);
        CHECK_FALSE(response.header("x-request-id").empty());
        CHECK(response.header("x-run-state") == "not_run");
        CHECK(response.header("x-result-code") == std::to_string(code));
        checkError(response.body, code);
        CHECK(refusals(reason) == before + 1);
        checkUnharmed();
    }

    /** Checks what the server sent by itself before it closed a connection. */
    void checkRefusedByServer(RawConnection& connection, const std::string& statusLine, int code, const std::string& reason, double before) const
    {
        const std::string received = connection.readAll();
        CHECK(connection.isClosed());
        CHECK(received.starts_with(statusLine));
        const size_t body = received.find("\r\n\r\n");
        REQUIRE(body != std::string::npos);
        checkError(received.substr(body + 4), code);
        eventually("the refusal is counted", [&] { return refusals(reason) == before + 1; });
        checkUnharmed();
    }

    std::string head(size_t contentLength) const
    {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n" + Deployment::authorization() + "\r\nContent-Length: " + std::to_string(contentLength) + "\r\n";
    }

    uint16_t port() const { return deployment.host(0).callerPort; }
};

std::string nested(size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE_FIXTURE(Fixture, "a body that is no chat-completions request is refused")
{
    for (const std::string body : { "", "{", "[]", "null", "\"text\"", "{\"model\": \"drafts\"}", "\xff\xfe",
             R"({"model": 5, "messages": [{"role": "user", "content": "a"}]})",
             R"({"model": "drafts", "messages": "a"})",
             R"({"model": "drafts", "messages": []})",
             R"({"model": "drafts", "messages": ["a"]})",
             R"({"model": "drafts", "messages": [{"role": 1, "content": "a"}]})",
             R"({"model": "drafts", "messages": [{"role": "user", "content": 1}]})",
             R"({"model": "drafts", "messages": [{"role": "user", "content": "a"}], "stream": "yes"})",
             R"({"model": "drafts", "messages": [{"role": "user", "content": "a"}], "max_tokens": "many"})",
             R"({"model": "drafts", "messages": [{"role": "user", "content": "a"}], "max_tokens": -1})" }) {
        CAPTURE(body);
        checkRefused(chatWithBody(body), 400, 100, "malformed_request");
    }
}

TEST_CASE_FIXTURE(Fixture, "a body nested more deeply than any request is refused")
{
    const std::string deep = nested(maxBodyBytes / 4);
    checkRefused(chatWithBody(deep), 400, 100, "malformed_request");
    checkRefused(chatWithBody(R"({"model": "drafts", "messages": [{"role": "user", "content": "a", "extra": )" + deep + "}]}"), 400, 100, "malformed_request");
}

TEST_CASE("a body nested as deeply as the default limit allows does not end the host")
{
    const Deployment deployment { { .failureDomains = 1, .engines = 1 } };
    HttpRequest request = deployment.chat(0, "a lens", 3);
    request.body = R"({"model": "drafts", "messages": [{"role": "user", "content": "a", "extra": )" + nested(500000) + "}]}";
    CHECK(httpCall(request).status == 400);
    const auto next = httpStream(deployment.chat(0, "a lens", 3));
    REQUIRE_FALSE(next.events.empty());
    CHECK(next.events.back().data == "[DONE]");
}

TEST_CASE_FIXTURE(Fixture, "unknown customers, services and paths are refused")
{
    HttpRequest request = chat();
    request.headers = { "Authorization: Bearer nobody" };
    checkRefused(request, 401, 103, "unknown_customer");
    request.headers = {};
    checkRefused(request, 401, 103, "unknown_customer");
    checkRefused(deployment.chat(0, "a lens", 3, { { "model", "nothing" } }), 404, 104, "unknown_service");
    request = chat();
    request.url = deployment.host(0).url("/nowhere");
    checkRefused(request, 404, 111, "unknown_path");
}

TEST_CASE_FIXTURE(Fixture, "expired and malformed deadlines are refused")
{
    for (const std::string text : { "soon", "1.5", "", "99999999999999999999", "1 2" }) {
        CAPTURE(text);
        checkRefused(chatWithHeader(text.empty() ? "X-Deadline-Ms;" : "X-Deadline-Ms: " + text), 400, 100, "malformed_request");
    }
    checkRefused(chatWithHeader("X-Deadline-Ms: 0"), 504, 105, "deadline_expired");
    checkRefused(chatWithHeader("X-Deadline-Ms: -5"), 504, 105, "deadline_expired");
}

TEST_CASE_FIXTURE(Fixture, "the longest deadline that can be written is no expired one")
{
    const auto answer = httpStream(chatWithHeader("X-Deadline-Ms: 9223372036854775807"));
    CHECK(answer.response.status == 200);
    REQUIRE_FALSE(answer.events.empty());
    CHECK(answer.events.back().data == "[DONE]");
}

TEST_CASE_FIXTURE(Fixture, "a body above the limit is answered 413, and one at the limit passes")
{
    checkRefused(chatWithBody(std::string(maxBodyBytes + 1, ' ')), 413, 101, "body_too_large");
    checkRefused(chatWithBody(std::string(maxBodyBytes * 8, ' ')), 413, 101, "body_too_large");
    std::string body = chat().body;
    body += std::string(maxBodyBytes - body.size(), ' ');
    CHECK(httpStream(chatWithBody(body)).events.back().data == "[DONE]");
}

TEST_CASE_FIXTURE(Fixture, "a header above the limit is refused")
{
    checkRefused(chatWithHeader("X-Long: " + std::string(maxHeaderBytes + 1, 'a')), 400, 100, "malformed_request");
    RawConnection connection(port());
    const double before = refusals("malformed_request");
    connection.send(head(0) + "X-Long: " + std::string(maxHeaderBytes * 8, 'a') + "\r\n\r\n");
    checkRefusedByServer(connection, "HTTP/1.1 400", 100, "malformed_request", before);
}

TEST_CASE_FIXTURE(Fixture, "what is not HTTP is refused")
{
    RawConnection connection(port());
    const double before = refusals("malformed_request");
    connection.send("this is no request\r\n\r\n");
    checkRefusedByServer(connection, "HTTP/1.1 400", 100, "malformed_request", before);
}

TEST_CASE_FIXTURE(Fixture, "a sender that is too slow is told so, whether it stops in the header or in the body")
{
    for (const std::string& part : { head(100), head(100) + "\r\n{\"model\"" }) {
        CAPTURE(part);
        RawConnection connection(port());
        const double before = refusals("sender_too_slow");
        connection.send(part);
        checkRefusedByServer(connection, "HTTP/1.1 408", 110, "sender_too_slow", before);
    }
}

TEST_CASE_FIXTURE(Fixture, "an idle connection is closed without a refusal")
{
    const double before = refusals("sender_too_slow");
    RawConnection connection(port());
    CHECK(connection.readAll().empty());
    CHECK(connection.isClosed());
    CHECK(refusals("sender_too_slow") == before);
}

TEST_CASE_FIXTURE(Fixture, "a connection that half-closes before its request is whole leaves nothing behind")
{
    const double before = refusals("malformed_request");
    RawConnection connection(port());
    connection.send(head(100) + "\r\n{\"model\"");
    connection.endSending();
    CHECK(connection.readAll().empty());
    CHECK(connection.isClosed());
    CHECK(refusals("malformed_request") == before);
    checkUnharmed();
}

TEST_CASE_FIXTURE(Fixture, "a connection that half-closes after its request counts as a caller that has gone")
{
    deployment.engine(0).setFaults(R"({"silent_after_tokens": 2})");
    const std::string body = chat().body;
    RawConnection connection(port());
    connection.send(head(body.size()) + "\r\n" + body);
    const std::string received = connection.readUntil("id: 2\n");
    CHECK(received.find("id: 2\n") != std::string::npos);
    connection.endSending();
    connection.readAll();
    CHECK(connection.isClosed());
    const std::string name = "X-Request-Id: ";
    const size_t start = received.find(name) + name.size();
    const json account = deployment.finalAccount(0, received.substr(start, received.find("\r\n", start) - start));
    CHECK(account.at("name") == "caller_gone");
    deployment.engine(0).setFaults(R"({"silent_after_tokens": null})");
    checkUnharmed();
}
