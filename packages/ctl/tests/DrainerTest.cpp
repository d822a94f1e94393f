#include "siskinspread/Drainer.h"

#include <curl/curl.h>
#include <doctest/doctest.h>

#include <deque>

namespace siskinspread {

namespace {

    TransferEnded state(const std::string& incarnation, int openRequests, bool wasDraining = false)
    {
        return { .end = TransferEnd::Complete, .status = 200, .headers = {}, .body = R"({"name":"a","incarnation":")" + incarnation + R"(","was_draining":)" + (wasDraining ? "true" : "false") + R"(,"open_requests":)" + std::to_string(openRequests) + R"(,"grace_left_ms":4000})" };
    }

    const TransferEnded refused { .end = TransferEnd::NothingSent, .headers = {}, .body = {}, .detail = curl_easy_strerror(CURLE_COULDNT_CONNECT) };
    const TransferEnded silent { .end = TransferEnd::NothingSent, .headers = {}, .body = {}, .detail = curl_easy_strerror(CURLE_OPERATION_TIMEDOUT) };
    const TransferEnded lost { .end = TransferEnd::Broken, .headers = {}, .body = {}, .detail = "broken" };

    /** Answers the calls in order; the last answer stands for all further ones. */
    struct ScriptedHost {
        std::deque<TransferEnded> answers;
        std::vector<std::string> methods {};

        DrainWays ways()
        {
            return { .perform = [this](const StartTransfer& transfer) {
                        methods.push_back(transfer.method);
                        TransferEnded answer = answers.front();
                        if (answers.size() > 1) {
                            answers.pop_front();
                        }
                        return answer; },
                .pause = [](std::chrono::milliseconds) {} };
        }
    };

    const DrainArguments waiting { .common = { .timeout = std::chrono::seconds { 1 } }, .host = "http://127.0.0.1:7100", .wait = true, .waitTimeout = std::chrono::seconds { 10 } };

} // namespace

TEST_CASE("a drain whose answer was lost is sent again, and without --wait nothing else is")
{
    ScriptedHost host { .answers = { lost, state("a.1", 2, true) } };
    DrainArguments arguments = waiting;
    arguments.wait = false;
    LastReason reason;
    const auto report = drainHost(host.ways(), arguments, reason);
    REQUIRE(report);
    CHECK(report->alreadyDraining);
    CHECK(report->openRequests == 2);
    CHECK(report->graceLeft == std::chrono::seconds { 4 });
    CHECK(host.methods == std::vector<std::string> { "POST", "POST" });
}

TEST_CASE("--wait ends when nobody listens any more, not at a single refused connection or at silence")
{
    ScriptedHost host { .answers = { state("a.1", 2), state("a.1", 1), refused, state("a.1", 1), silent, silent, silent, refused, refused, refused } };
    LastReason reason;
    const auto report = drainHost(host.ways(), waiting, reason);
    REQUIRE(report);
    CHECK(report->hasEnded);
    CHECK(report->openRequests == 1);
    CHECK(host.methods.size() == 10);
}

TEST_CASE("--wait ends when another process answers at the address, and gives up at its limit")
{
    ScriptedHost replaced { .answers = { state("a.1", 2), state("a.2", 0) } };
    LastReason reason;
    CHECK(drainHost(replaced.ways(), waiting, reason)->hasEnded);
    ScriptedHost cutOff { .answers = { state("a.1", 2), silent } };
    CHECK_FALSE(drainHost(cutOff.ways(), waiting, reason)->hasEnded);
}

TEST_CASE("a host that does not answer, or is no entry host, is an error")
{
    LastReason reason;
    ScriptedHost gone { .answers = { refused } };
    CHECK_FALSE(drainHost(gone.ways(), waiting, reason));
    CHECK(reason.code == ResultCode::BackendConnectFailed);
    TransferEnded page = state("a.1", 0);
    page.status = 404;
    ScriptedHost other { .answers = { page } };
    CHECK_FALSE(drainHost(other.ways(), waiting, reason));
    CHECK(reason.code == ResultCode::BackendError);
}

} // namespace siskinspread
