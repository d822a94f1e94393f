#include "siskinspread/HeartbeatCodec.h"

#include <algorithm>

namespace siskinspread {

namespace {

    // Bounds what a malformed message can claim; far above any age that decides anything.
    constexpr uint64_t maxAgeMilliseconds = 1ULL << 40;

    void write(const MemberRecord& record, schema::MemberMessage& out)
    {
        out.set_address(record.address);
        out.set_host(record.host);
        out.set_failure_domain(record.failureDomain);
        out.set_incarnation(record.incarnation);
        out.set_generation(record.generation);
        out.set_refutation(record.refutation);
        out.set_status(static_cast<uint32_t>(record.status));
    }

    bool read(const schema::MemberMessage& message, MemberRecord& record)
    {
        if (message.address().empty() || message.status() > static_cast<uint32_t>(MemberStatus::Left)) {
            return false;
        }
        record = {
            .address = message.address(),
            .host = message.host(),
            .failureDomain = message.failure_domain(),
            .incarnation = message.incarnation(),
            .generation = message.generation(),
            .refutation = message.refutation(),
            .status = static_cast<MemberStatus>(message.status()),
        };
        return true;
    }

    template <typename Messages>
    bool readAll(const Messages& messages, std::vector<MemberRecord>& records)
    {
        return std::all_of(messages.begin(), messages.end(), [&](const schema::MemberMessage& message) { return read(message, records.emplace_back()); });
    }

    template <typename Records>
    void writeRecords(const Records& body, schema::DomainRecordsMessage& out)
    {
        out.set_failure_domain(body.failureDomain);
        for (const MemberRecord& record : body.records) {
            write(record, *out.add_records());
        }
    }

    template <typename Records>
    bool readRecords(const schema::DomainRecordsMessage& message, MembershipBody& body)
    {
        Records result { .failureDomain = message.failure_domain(), .records = {} };
        const bool isValid = readAll(message.records(), result.records);
        body = std::move(result);
        return isValid;
    }

    struct BodyWriter {
        schema::HeartbeatMessage& message;

        void operator()(const Ping& ping) const { message.mutable_ping()->set_sequence(ping.sequence); }
        void operator()(const PingAck& ack) const { message.mutable_ping_ack()->set_sequence(ack.sequence); }
        void operator()(const PingRequest& request) const
        {
            message.mutable_ping_request()->set_sequence(request.sequence);
            message.mutable_ping_request()->set_target(request.target);
        }
        void operator()(const DomainRecordsRequest& request) const { writeRecords(request, *message.mutable_domain_records_request()); }
        void operator()(const DomainRecords& records) const { writeRecords(records, *message.mutable_domain_records()); }
        void operator()(const DomainSummary&) const { message.mutable_domain_summary(); }
    };

    bool readBody(const schema::HeartbeatMessage& message, MembershipBody& body)
    {
        switch (message.body_case()) {
        case schema::HeartbeatMessage::kPing:
            body = Ping { .sequence = message.ping().sequence() };
            return true;
        case schema::HeartbeatMessage::kPingAck:
            body = PingAck { .sequence = message.ping_ack().sequence() };
            return true;
        case schema::HeartbeatMessage::kPingRequest:
            body = PingRequest { .sequence = message.ping_request().sequence(), .target = message.ping_request().target() };
            return true;
        case schema::HeartbeatMessage::kDomainRecordsRequest:
            return readRecords<DomainRecordsRequest>(message.domain_records_request(), body);
        case schema::HeartbeatMessage::kDomainRecords:
            return readRecords<DomainRecords>(message.domain_records(), body);
        case schema::HeartbeatMessage::kDomainSummary:
            body = DomainSummary {};
            return true;
        default:
            return false;
        }
    }

} // namespace

schema::HeartbeatMessage heartbeatMessage(const MembershipMessage& message, const schema::RevisionAdvertMessage& advert)
{
    schema::HeartbeatMessage result;
    write(message.sender, *result.mutable_sender());
    for (const DomainView& view : message.views) {
        schema::DomainViewMessage& out = *result.add_views();
        out.set_failure_domain(view.failureDomain);
        out.set_age_ms(std::max<int64_t>(view.age.count(), 0));
        out.set_digest(view.digest);
    }
    for (const MemberRecord& record : message.rumours) {
        write(record, *result.add_rumours());
    }
    *result.mutable_advert() = advert;
    std::visit(BodyWriter { result }, message.body);
    return result;
}

std::optional<MembershipMessage> membershipMessage(const schema::HeartbeatMessage& message)
{
    MembershipMessage result;
    if (!read(message.sender(), result.sender) || !readAll(message.rumours(), result.rumours) || !readBody(message, result.body)) {
        return std::nullopt;
    }
    for (const schema::DomainViewMessage& view : message.views()) {
        const std::chrono::milliseconds age { std::min(view.age_ms(), maxAgeMilliseconds) };
        result.views.push_back({ .failureDomain = view.failure_domain(), .age = age, .digest = view.digest() });
    }
    return result;
}

} // namespace siskinspread
