#include "siskinspread/PeerMessages.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace siskinspread {

namespace {

    // Bounds what a malformed message can claim; far above any age that decides anything.
    constexpr uint64_t maxAgeMilliseconds = 1ULL << 40;

} // namespace

std::string peerMessageJson(const google::protobuf::Message& message)
{
    std::string json;
    static_cast<void>(google::protobuf::util::MessageToJsonString(message, &json));
    return json;
}

bool readPeerMessage(const std::string& json, google::protobuf::Message& message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true; // peers may run a later version
    return google::protobuf::util::JsonStringToMessage(json, &message, options).ok();
}

schema::RevisionAdvertMessage advertMessage(const std::string& host, const std::string& failureDomain, const RevisionAdvert& advert)
{
    schema::RevisionAdvertMessage message;
    message.set_host(host);
    message.set_failure_domain(failureDomain);
    message.set_revision(advert.revision);
    if (advert.storeContactAge) {
        message.set_store_contact_age_ms(std::max<int64_t>(advert.storeContactAge->count(), 0));
        message.set_store_contact_host(advert.storeContactHost);
    }
    return message;
}

RevisionHeard heardAdvert(const schema::RevisionAdvertMessage& message, const std::string& ownDomain)
{
    RevisionHeard heard {
        .host = message.host(),
        .sameDomain = message.failure_domain() == ownDomain,
        .advert = { .revision = message.revision(), .storeContactAge = std::nullopt, .storeContactHost = message.store_contact_host() },
    };
    if (message.has_store_contact_age_ms()) {
        heard.advert.storeContactAge = std::chrono::milliseconds { std::min(message.store_contact_age_ms(), maxAgeMilliseconds) };
    }
    return heard;
}

} // namespace siskinspread
