// Stand-in for a plain service (bookings, orders) whose calls run once each, with no deduplication of its own.

#include "CommandLine.h"
#include "CommonFaults.h"
#include "EventLoop.h"
#include "LaggedValue.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <set>
#include <utility>

namespace siskinspread::standin {
namespace {

    constexpr std::string_view stockPrefix = "/stock/";
    constexpr std::string_view recordPrefix = "/record/";
    constexpr uint64_t stockModulus = 1000;

    struct LedgerOptions {
        std::string name;
        std::string failureDomain;
        size_t slots { 0 }; /**< Reported with the load; the ledger itself does not queue. */
        std::chrono::milliseconds loadLag { 0 };
    };

    struct LedgerFaults {
        CommonFaults common;
        bool refuse { false };
        bool leaving { false };
        uint64_t runThenClose { 0 };
        uint64_t closeBeforeRun { 0 };
    };

    struct LedgerLoad {
        size_t running { 0 };
        bool leaving { false };
    };

    /** What became of one idempotency key. */
    struct KeyRecord {
        uint64_t pending { 0 }; /**< Calls that wait and may still run. */
        uint64_t runs { 0 };
        std::string lastBodySha;
    };

    std::string sha256(const std::string& text)
    {
        unsigned char digest[SHA256_DIGEST_LENGTH];
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
        std::string digits;
        for (const unsigned char byte : digest) {
            char pair[3];
            std::snprintf(pair, sizeof pair, "%02x", byte);
            digits += pair;
        }
        return digits;
    }

    class Ledger {
    public:
        Ledger(LedgerOptions options, EventLoop& loop)
            : m_options(std::move(options))
            , m_instance(drawInstance(m_options.name))
            , m_loop(loop)
            , m_load(m_options.loadLag)
        {
        }

        void handle(const Call& call, const Responder& responder)
        {
            if (call.path == "/control/runs") {
                sendRuns(responder);
            } else if (call.path == "/control/faults") {
                setFaults(call, responder, [this](const auto& name, const auto& value) { return setFault(name, value); });
            } else if (call.method == "POST" && isWritePath(call.path)) {
                acceptWrite(call, responder);
            } else {
                passCommonFaults(m_faults.common, m_loop, responder, [this, call, responder] { serveRead(call, responder); });
            }
        }

    private:
        void sendRefusal(const Responder& responder) const
        {
            m_faults.leaving ? sendLeaving(responder, m_instance) : sendNotRun(responder, "refused");
        }

        static bool isWritePath(const std::string& path)
        {
            return path == "/holds" || path == "/deposits" || path == "/orders";
        }

        void acceptWrite(const Call& call, const Responder& responder)
        {
            const std::string key = call.header("idempotency-key");
            if (m_faults.common.down || m_faults.common.silent) {
                passCommonFaults(m_faults.common, m_loop, responder, [] {});
                return;
            }
            if (m_faults.refuse || m_faults.leaving) {
                sendRefusal(responder);
                return;
            }
            ++m_records[key].pending;
            ++m_running;
            publishLoad();
            passCommonFaults(m_faults.common, m_loop, responder, [this, key, call, responder] {
                --m_records[key].pending;
                --m_running;
                publishLoad();
                runWrite(key, call, responder);
            });
        }

        /** Runs even when the caller has gone meanwhile, as a real service does. */
        void runWrite(const std::string& key, const Call& call, const Responder& responder)
        {
            if (m_faults.closeBeforeRun > 0) {
                --m_faults.closeBeforeRun;
                responder.closeConnection();
                return;
            }
            KeyRecord& record = m_records[key];
            ++record.runs;
            record.lastBodySha = sha256(call.body);
            if (m_faults.runThenClose > 0) {
                --m_faults.runThenClose;
                responder.closeConnection();
                return;
            }
            sendJson(responder, 200, { { "key", key }, { "run", record.runs }, { "body_sha", record.lastBodySha } },
                { { "X-Backend-Server", m_options.name }, { "X-Request-Id", call.header("x-request-id") } });
        }

        void serveRead(const Call& call, const Responder& responder)
        {
            if (call.path == "/load") {
                sendLoad(responder);
            } else if (call.path.starts_with(recordPrefix)) {
                sendRecord(call.path.substr(recordPrefix.size()), responder);
            } else if (call.path.starts_with(stockPrefix)) {
                sendStock(call.path.substr(stockPrefix.size()), responder);
            } else {
                responder.send(404);
            }
        }

        void sendStock(const std::string& item, const Responder& responder) const
        {
            if (m_faults.refuse || m_faults.leaving) {
                sendRefusal(responder);
                return;
            }
            const uint64_t stock = XXH3_64bits(item.data(), item.size()) % stockModulus;
            sendJson(responder, 200, { { "item", item }, { "stock", stock } }, { { "X-Backend-Server", m_options.name } });
        }

        void sendRecord(const std::string& key, const Responder& responder) const
        {
            auto found = m_records.find(key);
            const KeyRecord record = found == m_records.end() ? KeyRecord {} : found->second;
            sendJson(responder, 200,
                { { "key", key }, { "ran", record.runs > 0 }, { "runs", record.runs }, { "pending", record.pending },
                    { "body_sha", record.lastBodySha } });
        }

        void sendRuns(const Responder& responder) const
        {
            auto runs = nlohmann::json::object();
            for (const auto& [key, record] : m_records) {
                if (record.runs > 0) {
                    runs[key] = record.runs;
                }
            }
            sendJson(responder, 200, runs);
        }

        void sendLoad(const Responder& responder)
        {
            const LedgerLoad& load = m_load.published(std::chrono::steady_clock::now());
            sendJson(responder, 200,
                { { "name", m_options.name }, { "instance", m_instance }, { "failure_domain", m_options.failureDomain }, { "running", load.running },
                    { "queued", 0 }, { "slots", m_options.slots }, { "leaving", load.leaving } });
        }

        void publishLoad()
        {
            m_load.set({ .running = m_running, .leaving = m_faults.leaving }, std::chrono::steady_clock::now());
        }

        bool setFault(const std::string& name, const nlohmann::json& value)
        {
            if (name == "refuse") {
                m_faults.refuse = value.get<bool>();
            } else if (name == "leaving") {
                m_faults.leaving = value.get<bool>();
                publishLoad();
            } else if (name == "run_then_close") {
                m_faults.runThenClose = value.get<uint64_t>();
            } else if (name == "close_before_run") {
                m_faults.closeBeforeRun = value.get<uint64_t>();
            } else {
                return setCommonFault(m_faults.common, m_loop, name, value);
            }
            return true;
        }

        LedgerOptions m_options;
        const std::string m_instance;
        EventLoop& m_loop;
        LedgerFaults m_faults;
        LaggedValue<LedgerLoad> m_load;
        std::map<std::string, KeyRecord> m_records;
        size_t m_running { 0 };
    };

} // namespace
} // namespace siskinspread::standin

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    using namespace siskinspread::standin;
    uint16_t port = 0;
    int64_t loadLagMs = 0;
    LedgerOptions options;
    po::options_description description("Stand-in for a plain service");
    description.add_options()("port", po::value(&port)->default_value(0), "port on 127.0.0.1; 0 for any free one");
    description.add_options()("name", po::value(&options.name)->default_value("ledger"), "name of the backend server");
    description.add_options()("failure-domain", po::value(&options.failureDomain)->default_value("local"), "failure domain");
    description.add_options()("slots", po::value(&options.slots)->default_value(16), "reported capacity");
    description.add_options()("load-lag-ms", po::value(&loadLagMs)->default_value(0), "age of the published load");
    if (auto exitCode = parseCommandLine(argc, argv, description)) {
        return *exitCode;
    }
    options.loadLag = std::chrono::milliseconds(loadLagMs);
    EventLoop loop;
    Ledger ledger(std::move(options), loop);
    return loop.serve(port, [&ledger](const Call& call, const Responder& responder) { ledger.handle(call, responder); });
}
