#include "AtMostOnceModel.h"

namespace siskinspread {

bool AtMostOnceModel::isCut(const Message& message) const
{
    if (message.channel == Channel::Store) {
        return m_storeCut.contains(message.sender->host);
    }
    return message.channel == Channel::Peer && m_peerCut.contains(std::minmax(message.sender->host, message.receiver->host));
}

void AtMostOnceModel::deliver(size_t index)
{
    if (m_messages.empty()) {
        return;
    }
    index %= m_messages.size();
    const Message& next = m_messages[index];
    const bool atNode = next.answer || next.channel == Channel::Peer;
    if (atNode && next.receiver->alive && next.receiver->paused) {
        return; // waits in the kernel's buffers until the host goes on
    }
    if (isCut(next)) {
        lose(index, false);
        return;
    }
    const Message message = std::move(m_messages[index]);
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (!atNode || message.receiver->alive) {
        message.effect();
    } else if (message.failed && message.sender->alive) {
        message.failed();
    }
}

void AtMostOnceModel::lose(size_t index, bool stillUnderWay)
{
    if (m_messages.empty()) {
        return;
    }
    index %= m_messages.size();
    const Message message = m_messages[index];
    if (message.channel == Channel::Backend && !message.failed) {
        return; // the sender's own timer
    }
    if (!stillUnderWay) {
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (message.failed) {
        // The sender's own timer: it works whatever is cut.
        m_messages.push_back({ .sender = message.sender, .receiver = message.sender, .channel = Channel::Backend, .answer = true, .effect = message.failed, .failed = {} });
    }
}

void AtMostOnceModel::toStore(Ref node, std::function<std::function<void()>()> effect, const std::function<void()>& failed)
{
    const auto atStore = [this, node, effect = std::move(effect), failed] {
        m_messages.push_back({ .sender = node, .receiver = node, .channel = Channel::Store, .answer = true, .effect = effect(), .failed = failed });
    };
    m_messages.push_back({ .sender = node, .receiver = node, .channel = Channel::Store, .answer = false, .effect = atStore, .failed = failed });
}

void AtMostOnceModel::toPeer(Ref from, Ref to, std::function<void()> effect, std::function<void()> failed)
{
    m_messages.push_back({ .sender = from, .receiver = to, .channel = Channel::Peer, .answer = false, .effect = std::move(effect), .failed = std::move(failed) });
}

void AtMostOnceModel::tick(std::chrono::milliseconds by)
{
    m_now += by;
    for (const Ref node : m_hosts) {
        if (!node->alive || node->paused) {
            continue;
        }
        logEvent(node, LogTick {});
        ownerEvent(node, AtMostOnceTick {});
        std::vector<IncarnationId> closing;
        for (const auto& [incarnation, state] : node->closings) {
            closing.push_back(incarnation);
        }
        for (const IncarnationId& incarnation : closing) {
            closingEvent(node, incarnation, LogTick {});
        }
    }
}

} // namespace siskinspread
