#include "Engine.h"

#include <algorithm>
#include <utility>

namespace siskinspread::standin {

using Clock = std::chrono::steady_clock;

Engine::Engine(EngineOptions options, EventLoop& loop)
    : m_options(std::move(options))
    , m_instance(drawInstance(m_options.name))
    , m_loop(loop)
    , m_state { .checksFencing = m_options.checksFencing }
    , m_cache(m_options.cache)
    , m_load(m_options.loadLag)
{
}

void Engine::serveChat(const Call& call, const Responder& responder)
{
    if (m_faults.refuse || m_faults.leaving) {
        ++m_totals.refused;
        m_faults.leaving ? sendLeaving(responder, m_instance) : sendNotRun(responder, "refused");
        return;
    }
    if (m_faults.rejectStatus) {
        sendJson(responder, m_faults.rejectStatus, { { "error", "rejected" } });
        return;
    }
    auto run = std::make_shared<EngineRun>(EngineRun { .request = parseChatRequest(call, m_options.defaultTokens), .responder = responder });
    if (!servesModel(m_state, run->request.model)) {
        sendJson(responder, 404, { { "error", "model not loaded" } }, { { "X-Not-Run", "true" } });
        return;
    }
    run->number = ++m_lastNumber;
    m_runs[run->number] = run;
    m_queue.emplace(run->request.priority, run->number);
    responder.onCallerGone([this, number = run->number] {
        auto found = m_runs.find(number);
        if (found != m_runs.end()) {
            cancel(RunPointer(found->second));
        }
    });
    startQueued();
    publishLoad();
}

void Engine::startQueued()
{
    while (m_running < m_options.slots && !m_queue.empty()) {
        const RunPointer run = m_runs.at(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        start(run);
    }
}

void Engine::start(const RunPointer& run)
{
    const ChatRequest& request = run->request;
    run->isRunning = true;
    run->nextToken = request.continueFrom;
    run->usage = { .promptTokens = request.words.size(),
        .cachedTokens = m_cache.countCached(request.blocks) * cacheBlockTokens,
        .completionTokens = request.tokenCount,
        .recomputedTokens = recomputedTokens(request) };
    m_cache.use(request.blocks, Clock::now());
    ++m_running;
    ++m_totals.runs.started;
    RunCounters& counters = m_counters[request.requestId];
    ++counters.started;
    counters.startOrder = m_totals.runs.started;
    m_totals.promptTokens += run->usage.promptTokens;
    m_totals.cachedTokens += run->usage.cachedTokens;
    m_totals.recomputedTokens += run->usage.recomputedTokens;
    const uint64_t toPrefill = run->usage.promptTokens - run->usage.cachedTokens + run->usage.recomputedTokens;
    const auto delay = slowed(m_options.firstToken + m_options.prefillPerToken * static_cast<int64_t>(toPrefill));
    m_loop.after(delay, [this, number = run->number] { produceToken(number); });
}

uint64_t Engine::recomputedTokens(const ChatRequest& request) const
{
    auto imported = m_imported.find(request.kvHandle);
    const bool matches = imported != m_imported.end() && imported->second.answer == request.answer;
    const uint64_t covered = matches ? imported->second.tokens : 0;
    return request.continueFrom - std::min(request.continueFrom, covered);
}

void Engine::produceToken(uint64_t number)
{
    auto found = m_runs.find(number);
    if (found == m_runs.end()) {
        return;
    }
    const RunPointer run = found->second;
    if (interruptByFault(*run)) {
        return;
    }
    if (run->nextToken < run->request.tokenCount) {
        emitToken(*run);
    }
    if (run->nextToken >= run->request.tokenCount) {
        finish(run);
    } else {
        m_loop.after(slowed(m_options.betweenTokens), [this, number] { produceToken(number); });
    }
}

bool Engine::interruptByFault(EngineRun& run)
{
    if (m_faults.breakAfterTokens && run.emitted >= *m_faults.breakAfterTokens) {
        run.responder.closeConnection();
        forget(run);
        return true;
    }
    // A silent run keeps its slot until its caller gives up.
    return m_faults.silentAfterTokens && run.emitted >= *m_faults.silentAfterTokens;
}

std::string Engine::chunksToSend(EngineRun& run) const
{
    constexpr uint64_t reorderEvery = 4;
    const std::string event = tokenEvent(run.request, completionId(run), run.nextToken, m_faults.badTokenIndex);
    if (m_faults.reorderChunks && run.nextToken % reorderEvery == 1) {
        run.heldChunk = event;
        return {};
    }
    const std::string held = std::exchange(run.heldChunk, {});
    return (m_faults.duplicateChunks ? event + event : event) + held;
}

void Engine::emitToken(EngineRun& run)
{
    if (run.request.isStream) {
        startStream(run);
        run.responder.write(chunksToSend(run));
    }
    ++run.nextToken;
    ++run.emitted;
    ++m_counters[run.request.requestId].tokens;
    ++m_totals.runs.tokens;
}

void Engine::startStream(EngineRun& run) const
{
    if (!run.isStreaming) {
        run.isStreaming = true;
        auto headers = answerHeaders(run);
        headers.emplace("Content-Type", "text/event-stream");
        run.responder.startStream(200, headers);
    }
}

void Engine::finish(const RunPointer& run)
{
    if (run->request.isStream) {
        startStream(*run);
        run->responder.write(endEvents(run->request, completionId(*run), run->usage));
        run->responder.finish();
    } else {
        sendJson(run->responder, 200, wholeAnswer(run->request, completionId(*run), run->usage), answerHeaders(*run));
    }
    ++m_counters[run->request.requestId].finished;
    ++m_totals.runs.finished;
    cacheAnswer(run->request);
    forget(*run);
}

void Engine::cacheAnswer(const ChatRequest& request)
{
    std::vector<std::string> words = request.words;
    words.emplace_back("assistant");
    for (uint64_t index = 0; index < request.tokenCount; ++index) {
        std::string word = answerToken(request.answer, index);
        word.pop_back(); // the space at its end
        words.push_back(std::move(word));
    }
    m_cache.use(blockHashes(request.model, words), Clock::now());
}

void Engine::cancel(const RunPointer& run)
{
    if (run->isRunning) {
        run->responder.closeConnection();
        ++m_counters[run->request.requestId].cancelled;
        ++m_totals.runs.cancelled;
    } else {
        sendNotRun(run->responder, "cancelled");
    }
    forget(*run);
}

void Engine::forget(const EngineRun& run)
{
    if (run.isRunning) {
        --m_running;
    } else {
        m_queue.erase({ run.request.priority, run.number });
    }
    m_runs.erase(run.number);
    startQueued();
    publishLoad();
}

std::vector<Engine::RunPointer> Engine::runsWhere(const std::function<bool(const EngineRun&)>& predicate) const
{
    std::vector<RunPointer> matching;
    for (const auto& [number, run] : m_runs) {
        if (predicate(*run)) {
            matching.push_back(run);
        }
    }
    return matching;
}

void Engine::breakAll()
{
    for (const RunPointer& run : runsWhere([](const EngineRun&) { return true; })) {
        run->responder.closeConnection();
        m_queue.erase({ run->request.priority, run->number });
        m_runs.erase(run->number);
    }
    m_running = 0;
    publishLoad();
}

void Engine::unloadModel(const std::string& model)
{
    for (const RunPointer& run : runsWhere([&](const EngineRun& candidate) { return candidate.request.model == model; })) {
        cancel(run);
    }
}

void Engine::publishLoad()
{
    m_load.set({ .running = m_running, .queued = m_queue.size(), .cachedTokens = m_cache.blockCount() * cacheBlockTokens, .leaving = m_faults.leaving },
        Clock::now());
}

Headers Engine::answerHeaders(const EngineRun& run) const
{
    return { { "X-Request-Id", run.request.requestId }, { "X-Backend-Server", m_options.name } };
}

std::string Engine::completionId(const EngineRun& run) const
{
    return "chatcmpl-" + m_options.name + "-" + std::to_string(run.number);
}

std::chrono::microseconds Engine::slowed(std::chrono::microseconds time) const
{
    return std::chrono::microseconds(static_cast<int64_t>(static_cast<double>(time.count()) * m_faults.slowFactor));
}

} // namespace siskinspread::standin
