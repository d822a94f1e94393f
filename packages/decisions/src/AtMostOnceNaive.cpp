#include "siskinspread/AtMostOnceNaive.h"

#include "AtMostOnceAdmission.h"

#include <algorithm>

namespace siskinspread {

namespace {

    class NaiveOwner {
    public:
        NaiveOwner(NaiveAtMostOnceState& state, const AtMostOnceOptions& options, std::vector<AtMostOnceAction>& actions)
            : m_state(state)
            , m_options(options)
            , m_actions(actions)
        {
        }

        void on(const RequestArrived& event)
        {
            const auto known = m_state.keys.find(event.key);
            if (known == m_state.keys.end()) {
                m_state.keys.emplace(event.key, std::nullopt);
                m_state.requests.emplace(event.request, event.key);
                m_actions.emplace_back(DispatchRequest { .request = event.request, .attempt = 1, .candidates = event.candidates, .deadline = event.deadline });
            } else if (!known->second) {
                answer(event.request, ResultCode::KeyInProgress, RunState::MayHaveRun, {});
            } else {
                answer(event.request, known->second->result, RunState::Ran, known->second->response);
            }
        }

        void on(const AttemptAnswered& event)
        {
            if (const auto key = finish(event.request)) {
                m_state.keys[*key] = event;
                answer(event.request, event.result, RunState::Ran, event.response);
            }
        }

        void on(const AttemptNotRun& event)
        {
            if (const auto key = finish(event.request)) {
                m_state.keys.erase(*key);
                answer(event.request, event.reason, RunState::NotRun, {});
            }
        }

        void on(const AttemptUnknown& event)
        {
            if (const auto key = finish(event.request)) {
                m_state.keys.erase(*key);
                answer(event.request, ResultCode::BackendNoProgress, RunState::NotRun, {});
            }
        }

        template <typename Other>
        void on(const Other& /*event*/)
        {
        }

    private:
        std::optional<IdempotencyKey> finish(const RequestId& request)
        {
            const auto found = m_state.requests.find(request);
            if (found == m_state.requests.end()) {
                return std::nullopt;
            }
            const IdempotencyKey key = found->second;
            m_state.requests.erase(found);
            return key;
        }

        void answer(const RequestId& request, ResultCode result, RunState runState, const std::string& response)
        {
            m_actions.emplace_back(AnswerRequest {
                .request = request,
                .id = formatRequestId(request),
                .entryHost = {},
                .result = result,
                .runState = runState,
                .httpStatus = resultInfo(result).httpStatus,
                .response = response,
                .responseKept = true,
                .retryAfter = retryAfterOf(result, m_options),
                .repeatOf = std::nullopt,
            });
        }

        NaiveAtMostOnceState& m_state;
        const AtMostOnceOptions& m_options;
        std::vector<AtMostOnceAction>& m_actions;
    };

} // namespace

IncarnationId naiveOwner(const IdempotencyKey& key, const std::vector<IncarnationId>& live)
{
    const auto weight = [&](const IncarnationId& one) {
        const BodyDigest digest = digestOf(key.customer, key.text, one.text);
        return std::pair(digest.high, digest.low);
    };
    return *std::max_element(live.begin(), live.end(), [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
}

void step(NaiveAtMostOnceState& state, const AtMostOnceOptions& options, const AtMostOnceEvent& event, std::vector<AtMostOnceAction>& actions)
{
    NaiveOwner owner(state, options, actions);
    std::visit([&](const auto& value) { owner.on(value); }, event);
}

} // namespace siskinspread
