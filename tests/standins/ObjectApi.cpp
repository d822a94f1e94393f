// Stand-in for the platform's object API: objects with versions, conditional updates and watches, all in memory.

#include "CommandLine.h"
#include "CommonFaults.h"
#include "EventLoop.h"
#include "ObjectStore.h"

#include <algorithm>
#include <list>
#include <stdexcept>
#include <utility>

namespace siskinspread::standin {
namespace {

    constexpr std::string_view objectsPrefix = "/objects/";
    constexpr uint64_t defaultWatchTimeoutMs = 30000;
    constexpr uint64_t defaultListLimit = 1000;

    /** Calls by kind; writes also by the first part of the object's name. */
    struct CallCounters {
        uint64_t reads { 0 };
        uint64_t writes { 0 };
        uint64_t watches { 0 };
        uint64_t lists { 0 };
        uint64_t conflicts { 0 };
        std::map<std::string, uint64_t> writesByPrefix;
    };

    struct WriteFaults {
        uint64_t loseNextAnswers { 0 };
        uint64_t rejectNext { 0 };
    };

    /** A call that waits for a newer version of its object. */
    struct Watch {
        uint64_t id { 0 };
        std::string name;
        uint64_t after { 0 };
        Responder responder;
    };

    std::string etag(uint64_t version)
    {
        return '"' + std::to_string(version) + '"';
    }

    /** @return the condition of a write, or nothing when the call has none or two. */
    std::optional<WriteCondition> writeCondition(const Call& call)
    {
        const std::string match = call.header("if-match");
        const std::string noneMatch = call.header("if-none-match");
        if (match.empty() == noneMatch.empty()) {
            return std::nullopt;
        }
        if (!noneMatch.empty()) {
            return noneMatch == "*" ? std::optional(WriteCondition {}) : std::nullopt;
        }
        if (match.size() < 3 || match.front() != '"' || match.back() != '"') {
            return std::nullopt;
        }
        return WriteCondition { .version = std::stoull(match.substr(1, match.size() - 2)) };
    }

    class ObjectApi {
    public:
        explicit ObjectApi(EventLoop& loop)
            : m_loop(loop)
        {
        }

        void handle(const Call& call, const Responder& responder)
        {
            if (call.path == "/control/counters") {
                sendCounters(responder);
            } else if (call.path == "/control/faults") {
                setFaults(call, responder, [this](const auto& name, const auto& value) { return setFault(name, value); });
            } else {
                passCommonFaults(m_faults, m_loop, responder, [this, call, responder] { serve(call, responder); });
            }
        }

    private:
        void serve(const Call& call, const Responder& responder)
        {
            if (call.path == "/list" && call.method == "GET") {
                serveList(call, responder);
            } else if (!call.path.starts_with(objectsPrefix) || call.path.size() == objectsPrefix.size()) {
                responder.send(404);
            } else if (call.method == "GET") {
                serveGet(call, call.path.substr(objectsPrefix.size()), responder);
            } else if (call.method == "PUT" || call.method == "DELETE") {
                serveWrite(call, call.path.substr(objectsPrefix.size()), responder);
            } else {
                responder.send(405);
            }
        }

        void serveGet(const Call& call, const std::string& name, const Responder& responder)
        {
            const bool isWatch = call.query.count("watch_after") > 0;
            ++(isWatch ? m_counters.watches : m_counters.reads);
            const auto object = read(m_store, name);
            const uint64_t after = call.queryNumber("watch_after", 0);
            if (object && object->version > after) {
                sendObject(responder, *object);
            } else if (isWatch) {
                wait(name, after, std::chrono::milliseconds(call.queryNumber("timeout_ms", defaultWatchTimeoutMs)), responder);
            } else {
                responder.send(404);
            }
        }

        void wait(const std::string& name, uint64_t after, std::chrono::milliseconds timeout, const Responder& responder)
        {
            const uint64_t id = ++m_lastWatch;
            m_watches.push_back({ .id = id, .name = name, .after = after, .responder = responder });
            responder.onCallerGone([this, id] { takeWatch(id); });
            m_loop.after(timeout, [this, id] {
                if (auto watch = takeWatch(id)) {
                    watch->responder.send(304);
                }
            });
        }

        std::optional<Watch> takeWatch(uint64_t id)
        {
            auto found = std::find_if(m_watches.begin(), m_watches.end(), [id](const Watch& watch) { return watch.id == id; });
            if (found == m_watches.end()) {
                return std::nullopt;
            }
            Watch watch = std::move(*found);
            m_watches.erase(found);
            return watch;
        }

        void wakeWatches(const std::string& name)
        {
            const auto object = read(m_store, name);
            if (!object) {
                return;
            }
            auto isDue = [&](const Watch& watch) { return watch.name == name && watch.after < object->version; };
            for (const Watch& watch : m_watches) {
                if (isDue(watch)) {
                    sendObject(watch.responder, *object);
                }
            }
            m_watches.remove_if(isDue);
        }

        void serveWrite(const Call& call, const std::string& name, const Responder& responder)
        {
            ++m_counters.writes;
            ++m_counters.writesByPrefix[name.substr(0, name.find('/'))];
            if (m_writeFaults.rejectNext > 0) {
                --m_writeFaults.rejectNext;
                responder.send(503);
                return;
            }
            const auto condition = writeCondition(call);
            if (!condition || (call.method == "DELETE" && condition->version == 0)) {
                responder.send(428);
                return;
            }
            if (call.body.size() > maxObjectSize) {
                responder.send(413);
                return;
            }
            const WriteOutcome outcome = call.method == "PUT" ? write(m_store, name, call.body, *condition) : remove(m_store, name, *condition);
            if (!outcome.applied) {
                ++m_counters.conflicts;
                responder.send(412, {}, outcome.version > 0 ? Headers { { "ETag", etag(outcome.version) } } : Headers {});
                return;
            }
            answerAppliedWrite(condition->version == 0 ? 201 : 200, outcome.version, responder);
            wakeWatches(name);
        }

        void answerAppliedWrite(int status, uint64_t version, const Responder& responder)
        {
            if (m_writeFaults.loseNextAnswers > 0) {
                --m_writeFaults.loseNextAnswers;
                responder.closeConnection();
            } else {
                responder.send(status, {}, { { "ETag", etag(version) } });
            }
        }

        void serveList(const Call& call, const Responder& responder)
        {
            ++m_counters.lists;
            auto parameter = [&call](const char* name) {
                auto found = call.query.find(name);
                return found == call.query.end() ? std::string() : found->second;
            };
            auto objects = nlohmann::json::array();
            for (const auto& object : list(m_store, parameter("prefix"), parameter("after"), call.queryNumber("limit", defaultListLimit))) {
                objects.push_back({ { "name", object.name }, { "version", object.version } });
            }
            sendJson(responder, 200, { { "objects", objects } });
        }

        static void sendObject(const Responder& responder, const StoredObject& object)
        {
            responder.send(200, object.value, { { "ETag", etag(object.version) } });
        }

        void sendCounters(const Responder& responder) const
        {
            sendJson(responder, 200,
                { { "reads", m_counters.reads }, { "writes", m_counters.writes }, { "watches", m_counters.watches },
                    { "lists", m_counters.lists }, { "conflicts", m_counters.conflicts },
                    { "open_watches", m_watches.size() }, { "writes_by_prefix", m_counters.writesByPrefix } });
        }

        bool setFault(const std::string& name, const nlohmann::json& value)
        {
            if (name == "lose_next_write_answers") {
                m_writeFaults.loseNextAnswers = value.get<uint64_t>();
                return true;
            }
            if (name == "reject_next_writes") {
                m_writeFaults.rejectNext = value.get<uint64_t>();
                return true;
            }
            const bool known = setCommonFault(m_faults, m_loop, name, value);
            abandonWatches();
            return known;
        }

        /** A store that goes down closes the calls that wait; one that goes silent never answers them. */
        void abandonWatches()
        {
            if (m_faults.down) {
                for (const Watch& watch : m_watches) {
                    watch.responder.closeConnection();
                }
            }
            if (m_faults.down || m_faults.silent) {
                m_watches.clear();
            }
        }

        EventLoop& m_loop;
        ObjectStore m_store;
        CommonFaults m_faults;
        WriteFaults m_writeFaults;
        CallCounters m_counters;
        std::list<Watch> m_watches;
        uint64_t m_lastWatch { 0 };
    };

} // namespace
} // namespace siskinspread::standin

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    using namespace siskinspread::standin;
    uint16_t port = 0;
    po::options_description options("Stand-in for the platform's object API");
    options.add_options()("port", po::value(&port)->default_value(0), "port on 127.0.0.1; 0 for any free one");
    if (auto exitCode = parseCommandLine(argc, argv, options)) {
        return *exitCode;
    }
    EventLoop loop;
    ObjectApi api(loop);
    return loop.serve(port, [&api](const Call& call, const Responder& responder) { api.handle(call, responder); });
}
