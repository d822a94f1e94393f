#include "AtMostOnceTrace.h"

#include <algorithm>
#include <fstream>

namespace siskinspread {

namespace {

    constexpr uint32_t backendRuns = 0;
    constexpr uint32_t backendRefuses = 3;

    /** Together longer than a log waits before it sends copies, and shorter than an intent may wait. */
    constexpr int ticks = 10;
    constexpr int callsPerTick = 40; // request and answer of each call of a takeover
    constexpr std::chrono::milliseconds tickStep { 60 };

    std::string afterMark(const std::string& line, std::string_view mark)
    {
        return line.starts_with(mark) ? line.substr(mark.size()) : std::string {};
    }

    std::string outcomeLine(const std::string& what, size_t number, RunState state, ResultCode code)
    {
        return what + " " + std::to_string(number) + " " + std::string(runStateName(state)) + " " + std::string(resultInfo(code).name);
    }

} // namespace

TraceFile readTrace(const std::string& path)
{
    TraceFile file;
    std::ifstream lines(path);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (const std::string naive = afterMark(line, "naive = "); !naive.empty()) {
            file.naiveOutcome.push_back(naive);
        } else if (const std::string stated = afterMark(line, "= "); !stated.empty()) {
            file.outcome.push_back(stated);
        } else {
            file.steps.push_back(line);
        }
    }
    return file;
}

AtMostOnceTrace::AtMostOnceTrace(bool naive)
    : m_naive(naive)
    , m_model(naive, m_coverage)
    , m_owner(ownerNow())
{
}

bool AtMostOnceTrace::apply(const std::string& step)
{
    using Channel = Model::Channel;
    const std::map<std::string, std::function<void()>> known {
        { "try", [this] { tryKey(); } },
        { "write", [this] { pass(Channel::Store, true, false); } },
        { "lose write", [this] { lose(Channel::Store, false, false); fireTimers(); } },
        { "lose write answer", [this] { lose(Channel::Store, true, false); fireTimers(); } },
        { "intent durable", [this] { passTime({ Channel::Store }); } },
        { "outcome durable", [this] { passTime({ Channel::Store }); } },
        { "copies", [this] { passTime({ Channel::Store, Channel::Peer }); } },
        { "dispatched", [this] { pass(Channel::Backend, true, false); } },
        { "refused", [this] { refuse(); } },
        { "answered", [this] { pass(Channel::Backend, false, true); } },
        { "answers doubled", [this] { doubleAnswers(); } },
        { "lose answer", [this] { lose(Channel::Backend, true, true); fireTimers(); } },
        { "kill owner", [this] { kill(true, false); } },
        { "kill holder", [this] { kill(false, true); } },
        { "kill owner holder", [this] { kill(true, true); } },
        { "pause owner", [this] { m_owner->paused = true; } },
        { "wake owner", [this] { m_owner->paused = false; } },
        { "store away", [this] { m_model.setStoreAway(true); } },
        { "store back", [this] { m_model.setStoreAway(false); } },
        { "takeover begins", [this] { beginTakeover(); } },
        { "takeover", [this] { takeOver(); } },
        { "settle", [this] { passTime({ Channel::Store, Channel::Peer, Channel::Backend }); } },
    };
    const auto found = known.find(step);
    if (found != known.end()) {
        found->second();
    }
    return found != known.end();
}

std::vector<std::string> AtMostOnceTrace::finish()
{
    m_model.finish();
    std::vector<std::string> lines { "runs " + std::to_string(m_model.m_runs[m_key]) };
    for (size_t index = 0; index < m_tries.size(); ++index) {
        const auto& answer = m_model.m_told[m_tries[index]].answer;
        lines.push_back(answer ? outcomeLine("told", index + 1, answer->runState, answer->result) : "told " + std::to_string(index + 1) + " nothing");
    }
    for (size_t index = 0; index < m_tries.size() && !m_naive; ++index) {
        const auto& account = m_model.m_told[m_tries[index]].account;
        lines.push_back(account ? outcomeLine("account", index + 1, account->account.runState, account->account.result) : "account " + std::to_string(index + 1) + " none");
    }
    return lines;
}

void AtMostOnceTrace::tryKey()
{
    const Model::Ref node = m_naive ? naiveOwnerNow() : ownerNow();
    if (m_tries.empty()) {
        m_owner = node;
    }
    m_model.request(node, 0, false);
    m_tries.push_back({ .incarnation = node->log.self, .sequence = node->sequence });
}

/** The taker while a takeover is in progress, as its callers already find it in the list of live hosts. */
AtMostOnceTrace::Model::Ref AtMostOnceTrace::ownerNow()
{
    return m_takeoverBegan ? taker() : m_model.find(m_model.m_map.slices[sliceOf(m_key, m_model.m_options.slices)].owner);
}

/** The owner by the list of a live host. */
AtMostOnceTrace::Model::Ref AtMostOnceTrace::naiveOwnerNow()
{
    std::vector<IncarnationId> live;
    for (const Model::Ref node : m_model.m_hosts) {
        if (node->alive && !(m_takeoverBegan && node == m_owner)) {
            live.push_back(node->log.self);
        }
    }
    return m_model.find(naiveOwner(m_key, live));
}

/** A host of the other failure domain, so neither the owner nor its copy holder. */
AtMostOnceTrace::Model::Ref AtMostOnceTrace::taker()
{
    return m_model.m_hosts[m_owner->host ^ 2U];
}

void AtMostOnceTrace::refuse()
{
    m_model.m_choice = backendRefuses;
    pass(Model::Channel::Backend, true, false);
    m_model.m_choice = backendRuns;
}

void AtMostOnceTrace::kill(bool owner, bool holder)
{
    m_owner->alive = m_owner->alive && !owner;
    const Model::Ref holderNode = m_model.m_hosts[m_owner->host ^ 1U];
    holderNode->alive = holderNode->alive && !holder;
}

void AtMostOnceTrace::beginTakeover()
{
    m_takeoverBegan = true;
    for (const Model::Ref node : m_model.m_hosts) {
        node->suspected.insert(m_owner->host);
    }
    m_model.takeSlice(taker(), sliceOf(m_key, m_model.m_options.slices));
}

void AtMostOnceTrace::takeOver()
{
    if (!m_takeoverBegan) {
        beginTakeover();
    }
    m_model.m_choice = 1; // the cloud API tells whether a host that does not answer has ended
    passTime({ Model::Channel::Store, Model::Channel::Peer });
    m_model.m_choice = backendRuns;
}

/** Delivers what is under way on the channel now, and nothing that this causes. */
void AtMostOnceTrace::pass(Model::Channel channel, bool requests, bool answers)
{
    size_t index = 0;
    for (size_t left = m_model.m_messages.size(); left > 0; --left) {
        const Model::Message& message = m_model.m_messages[index];
        if (message.channel == channel && (message.answer ? answers : requests)) {
            const bool waits = message.receiver->paused && message.receiver->alive && (message.answer || channel == Model::Channel::Peer);
            if (!waits) {
                m_model.deliver(index);
                continue;
            }
        }
        ++index;
    }
}

void AtMostOnceTrace::runChannels(std::initializer_list<Model::Channel> channels)
{
    for (const Model::Channel channel : channels) {
        pass(channel, true, true);
    }
}

void AtMostOnceTrace::passTime(std::initializer_list<Model::Channel> channels)
{
    for (int tick = 0; tick < ticks; ++tick) {
        for (int call = 0; call < callsPerTick; ++call) {
            runChannels(channels);
            fireTimers();
        }
        m_model.tick(tickStep);
        runChannels(channels);
    }
}

void AtMostOnceTrace::lose(Model::Channel channel, bool answers, bool stillUnderWay)
{
    size_t index = 0;
    for (size_t left = m_model.m_messages.size(); left > 0; --left) {
        const Model::Message& message = m_model.m_messages[index];
        if (message.channel == channel && message.answer == answers && message.failed) {
            m_model.lose(index, stillUnderWay);
            index += stillUnderWay ? 1 : 0;
        } else {
            ++index;
        }
    }
}

/** Senders that wait for what was lost learn it now. */
void AtMostOnceTrace::fireTimers()
{
    for (size_t index = m_model.m_messages.size(); index-- > 0;) {
        const Model::Message& message = m_model.m_messages[index];
        if (message.channel == Model::Channel::Backend && message.answer && !message.failed) {
            m_model.deliver(index);
        }
    }
}

void AtMostOnceTrace::doubleAnswers()
{
    const size_t count = m_model.m_messages.size();
    for (size_t index = 0; index < count; ++index) {
        if (m_model.m_messages[index].channel == Model::Channel::Backend && m_model.m_messages[index].answer) {
            m_model.repeatMessage(index);
        }
    }
}

} // namespace siskinspread
