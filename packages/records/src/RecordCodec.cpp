#include "siskinspread/RecordCodec.h"

#include "records.pb.h"

#include <cstdio>

namespace siskinspread {

namespace {

    int64_t microseconds(WallTime time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    }

    WallTime wallTime(int64_t microsecondsSinceEpoch)
    {
        return WallTime { std::chrono::duration_cast<WallTime::duration>(std::chrono::microseconds { microsecondsSinceEpoch }) };
    }

    void write(const RequestId& id, schema::RequestIdRecord& out)
    {
        out.set_incarnation(id.incarnation.text);
        out.set_sequence(id.sequence);
    }

    RequestId read(const schema::RequestIdRecord& in)
    {
        return { .incarnation = { in.incarnation() }, .sequence = in.sequence() };
    }

    void write(const IdempotencyKey& key, schema::IdempotencyKeyRecord& out)
    {
        out.set_customer(key.customer);
        out.set_text(key.text);
    }

    IdempotencyKey read(const schema::IdempotencyKeyRecord& in)
    {
        return { .customer = in.customer(), .text = in.text() };
    }

    void write(const IntentEntry& entry, schema::LogRecordMessage& message)
    {
        schema::IntentRecord& out = *message.mutable_intent();
        write(entry.request, *out.mutable_request());
        write(entry.key, *out.mutable_key());
        out.set_digest_high(entry.digest.high);
        out.set_digest_low(entry.digest.low);
        out.set_slice(entry.slice);
        out.set_service(entry.service);
        out.set_entry_host(entry.entryHost);
        out.set_recorded_at_us(microseconds(entry.recordedAt));
        *out.mutable_candidates() = { entry.candidates.begin(), entry.candidates.end() };
    }

    IntentEntry read(const schema::IntentRecord& in)
    {
        return {
            .request = read(in.request()),
            .key = read(in.key()),
            .digest = { .high = in.digest_high(), .low = in.digest_low() },
            .slice = in.slice(),
            .service = in.service(),
            .entryHost = in.entry_host(),
            .candidates = { in.candidates().begin(), in.candidates().end() },
            .recordedAt = wallTime(in.recorded_at_us()),
        };
    }

    void write(const AccountEntry& entry, schema::AccountRecord& out)
    {
        write(entry.request, *out.mutable_request());
        out.set_customer(entry.customer);
        out.set_service(entry.service);
        out.set_result(static_cast<uint32_t>(entry.result));
        out.set_run_state(static_cast<uint32_t>(entry.runState));
        out.set_attempts(entry.attempts);
        out.set_attempts_unknown(!entry.attemptsKnown);
        *out.mutable_backend_servers() = { entry.backendServers.begin(), entry.backendServers.end() };
        *out.mutable_candidates() = { entry.candidates.begin(), entry.candidates.end() };
        out.set_accepted_at_us(microseconds(entry.acceptedAt));
        out.set_finished_at_us(microseconds(entry.finishedAt));
        out.set_entry_host(entry.entryHost);
    }

    AccountEntry read(const schema::AccountRecord& in)
    {
        return {
            .request = read(in.request()),
            .customer = in.customer(),
            .service = in.service(),
            .result = static_cast<ResultCode>(in.result()),
            .runState = static_cast<RunState>(in.run_state()),
            .attemptsKnown = !in.attempts_unknown(),
            .attempts = in.attempts(),
            .backendServers = { in.backend_servers().begin(), in.backend_servers().end() },
            .candidates = { in.candidates().begin(), in.candidates().end() },
            .acceptedAt = wallTime(in.accepted_at_us()),
            .finishedAt = wallTime(in.finished_at_us()),
            .entryHost = in.entry_host(),
        };
    }

    void write(const AccountEntry& entry, schema::LogRecordMessage& message)
    {
        write(entry, *message.mutable_account());
    }

    void write(const OutcomeEntry& entry, schema::LogRecordMessage& message)
    {
        schema::OutcomeRecord& out = *message.mutable_outcome();
        write(entry.account, *out.mutable_account());
        write(entry.key, *out.mutable_key());
        out.set_http_status(entry.httpStatus);
        out.set_response(entry.response);
        out.set_response_kept(entry.responseKept);
    }

    OutcomeEntry read(const schema::OutcomeRecord& in)
    {
        return {
            .account = read(in.account()),
            .key = read(in.key()),
            .httpStatus = in.http_status(),
            .response = in.response(),
            .responseKept = in.response_kept(),
        };
    }

    void write(const HandedOverEntry& entry, schema::LogRecordMessage& message)
    {
        write(entry.request, *message.mutable_handed_over()->mutable_request());
        write(entry.as, *message.mutable_handed_over()->mutable_as());
    }

    void write(const CopyHolderEntry& entry, schema::LogRecordMessage& message)
    {
        message.mutable_copy_holder()->set_holder(entry.holder.text);
    }

    void write(const ClosingEntry& entry, schema::LogRecordMessage& message)
    {
        schema::ClosingRecord& out = *message.mutable_closing();
        out.set_by(entry.by.text);
        out.set_reason(static_cast<uint32_t>(entry.reason));
        out.set_closed_at_us(microseconds(entry.closedAt));
    }

    std::optional<LogEntry> readEntry(const schema::LogRecordMessage& in)
    {
        using Message = schema::LogRecordMessage;
        switch (in.entry_case()) {
        case Message::kIntent:
            return read(in.intent());
        case Message::kOutcome:
            return read(in.outcome());
        case Message::kAccount:
            return read(in.account());
        case Message::kHandedOver:
            return HandedOverEntry { .request = read(in.handed_over().request()), .as = read(in.handed_over().as()) };
        case Message::kCopyHolder:
            return CopyHolderEntry { .holder = { in.copy_holder().holder() } };
        case Message::kClosing:
            return ClosingEntry { .by = { in.closing().by() }, .reason = static_cast<ClosingReason>(in.closing().reason()), .closedAt = wallTime(in.closing().closed_at_us()) };
        case Message::ENTRY_NOT_SET:
            break;
        }
        return std::nullopt;
    }

    template <typename Message>
    void writeRecords(const std::vector<LogRecord>& records, Message& out)
    {
        for (const LogRecord& record : records) {
            schema::LogRecordMessage& message = *out.add_records();
            message.set_position(record.position);
            std::visit([&message](const auto& entry) { write(entry, message); }, record.entry);
        }
    }

    template <typename Message>
    bool readRecords(const Message& in, std::vector<LogRecord>& records)
    {
        for (const schema::LogRecordMessage& message : in.records()) {
            auto entry = readEntry(message);
            if (!entry) {
                return false;
            }
            records.push_back({ .position = message.position(), .entry = std::move(*entry) });
        }
        return true;
    }

    template <typename Message>
    bool parse(Message& message, std::string_view bytes)
    {
        return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    }

} // namespace

std::string encodeLogBatch(const LogBatch& batch)
{
    schema::LogBatchMessage message;
    message.set_incarnation(batch.incarnation.text);
    message.set_number(batch.number);
    message.set_writer(batch.writer.text);
    writeRecords(batch.records, message);
    return message.SerializeAsString();
}

std::optional<LogBatch> decodeLogBatch(std::string_view bytes, LastReason& reason)
{
    schema::LogBatchMessage message;
    LogBatch batch;
    if (!parse(message, bytes) || !readRecords(message, batch.records)) {
        return fail(reason, ResultCode::InternalError, "an object of an incarnation log is malformed");
    }
    batch.incarnation = { message.incarnation() };
    batch.number = message.number();
    batch.writer = { message.writer() };
    return batch;
}

std::string encodeSealedCopy(const SealedCopy& copy)
{
    schema::SealedCopyMessage message;
    message.set_incarnation(copy.incarnation.text);
    message.set_complete(copy.complete);
    writeRecords(copy.records, message);
    return message.SerializeAsString();
}

std::optional<SealedCopy> decodeSealedCopy(std::string_view bytes, LastReason& reason)
{
    schema::SealedCopyMessage message;
    SealedCopy copy;
    if (!parse(message, bytes) || !readRecords(message, copy.records)) {
        return fail(reason, ResultCode::InternalError, "an object of sealed copies is malformed");
    }
    copy.incarnation = { message.incarnation() };
    copy.complete = message.complete();
    return copy;
}

std::string encodeLeaseRecord(const LeaseRecord& record)
{
    schema::LeaseRecordMessage message;
    message.set_holder(record.holder);
    message.set_fencing_number(record.fencingNumber);
    message.set_write_id(record.writeId);
    return message.SerializeAsString();
}

std::optional<LeaseRecord> decodeLeaseRecord(std::string_view bytes, LastReason& reason)
{
    schema::LeaseRecordMessage message;
    if (!parse(message, bytes)) {
        return fail(reason, ResultCode::InternalError, "the object of a lease is malformed");
    }
    return LeaseRecord { .holder = message.holder(), .fencingNumber = message.fencing_number(), .writeId = message.write_id() };
}

std::string leaseName(std::string_view duty)
{
    return "leases/" + std::string { duty };
}

std::string encodeSliceMap(const SliceMap& map)
{
    schema::SliceMapMessage message;
    for (const SliceAssignment& assignment : map.slices) {
        schema::SliceAssignmentRecord& out = *message.add_slices();
        out.set_owner(assignment.owner.text);
        out.set_generation(assignment.generation);
        for (const PreviousOwner& previous : assignment.previous) {
            schema::PreviousOwnerRecord& record = *out.add_previous();
            record.set_incarnation(previous.incarnation.text);
            record.set_generation(previous.generation);
            record.set_until_us(microseconds(previous.until));
        }
    }
    return message.SerializeAsString();
}

std::optional<SliceMap> decodeSliceMap(std::string_view bytes, LastReason& reason)
{
    schema::SliceMapMessage message;
    if (!parse(message, bytes)) {
        return fail(reason, ResultCode::InternalError, "the object of the slice map is malformed");
    }
    SliceMap map;
    for (const schema::SliceAssignmentRecord& in : message.slices()) {
        SliceAssignment assignment { .owner = { in.owner() }, .generation = in.generation(), .previous = {} };
        for (const schema::PreviousOwnerRecord& previous : in.previous()) {
            assignment.previous.push_back({ .incarnation = { previous.incarnation() }, .generation = previous.generation(), .until = wallTime(previous.until_us()) });
        }
        map.slices.push_back(std::move(assignment));
    }
    return map;
}

std::string encodeAccountAnswer(const AccountAnswer& answer)
{
    schema::AccountAnswerMessage message;
    message.set_standing(static_cast<uint32_t>(answer.standing));
    write(answer.request, *message.mutable_request());
    write(answer.account, *message.mutable_account());
    if (answer.key) {
        write(*answer.key, *message.mutable_key());
    }
    message.set_recorded_by(answer.recordedBy);
    message.set_advice(answer.advice);
    return message.SerializeAsString();
}

std::optional<AccountAnswer> decodeAccountAnswer(std::string_view bytes, LastReason& reason)
{
    schema::AccountAnswerMessage message;
    if (!parse(message, bytes)) {
        return fail(reason, ResultCode::InternalError, "an account from another host is malformed");
    }
    return AccountAnswer {
        .standing = static_cast<AccountStanding>(message.standing()),
        .request = read(message.request()),
        .account = read(message.account()),
        .key = message.has_key() ? std::optional { read(message.key()) } : std::nullopt,
        .recordedBy = message.recorded_by(),
        .advice = message.advice(),
    };
}

std::string logBatchName(const IncarnationId& incarnation, uint64_t number)
{
    char digits[24];
    std::snprintf(digits, sizeof digits, "%08llu", static_cast<unsigned long long>(number));
    return "log/" + incarnation.text + "/" + digits;
}

std::string sealedCopyName(const IncarnationId& incarnation)
{
    return "log/" + incarnation.text + "/sealed";
}

} // namespace siskinspread
