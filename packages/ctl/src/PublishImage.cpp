#include "PublishImage.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>

namespace siskinspread {

namespace {

    // Fields stand in the order of their numbers, so equal messages give equal texts.
    template <typename Message>
    std::string canonicalText(const Message& message)
    {
        std::string text;
        google::protobuf::util::JsonPrintOptions options;
        options.preserve_proto_field_names = true;
        static_cast<void>(google::protobuf::util::MessageToJsonString(message, &text, options));
        return text;
    }

    ConfigurationItem itemOf(const schema::Service& service)
    {
        ConfigurationItem item;
        item.key = { .kind = ItemKind::Service, .name = service.name() };
        item.fileRevision = service.file_revision();
        item.canonicalText = canonicalText(service);
        for (const schema::CustomerLimit& limit : service.customer_limits()) {
            item.requiredCustomers.push_back(limit.customer());
        }
        for (const schema::BackendServer& server : service.backend_servers()) {
            item.claims.push_back({ .resource = "backend server " + server.name(), .holder = "pool " + service.pool() });
        }
        return item;
    }

    ConfigurationItem itemOf(const schema::Customer& customer)
    {
        ConfigurationItem item;
        item.key = { .kind = ItemKind::Customer, .name = customer.name() };
        item.fileRevision = std::max<uint64_t>(customer.file_revision(), 1);
        item.canonicalText = canonicalText(customer);
        return item;
    }

    template <typename Document>
    std::vector<ConfigurationItem> itemsOf(const Document& document)
    {
        std::vector<ConfigurationItem> items;
        for (const schema::Service& service : document.services()) {
            items.push_back(itemOf(service));
        }
        for (const schema::Customer& customer : document.customers()) {
            items.push_back(itemOf(customer));
        }
        return items;
    }

    PublishStamp stampOf(const schema::PublishStampRecord& record)
    {
        PublishStamp stamp { .revision = record.revision(), .publishId = record.publish_id(), .publisher = record.publisher(), .changed = {} };
        for (const schema::ItemKeyRecord& key : record.changed()) {
            stamp.changed.push_back({ .kind = static_cast<ItemKind>(key.kind()), .name = key.name() });
        }
        return stamp;
    }

    void write(const PublishStamp& stamp, schema::PublishStampRecord& record)
    {
        record.set_revision(stamp.revision);
        record.set_publish_id(stamp.publishId);
        record.set_publisher(stamp.publisher);
        for (const ItemKey& key : stamp.changed) {
            schema::ItemKeyRecord& out = *record.add_changed();
            out.set_kind(static_cast<uint32_t>(key.kind));
            out.set_name(key.name);
        }
    }

    template <typename Message>
    void parseInto(const std::string& text, Message& message)
    {
        static_cast<void>(google::protobuf::util::JsonStringToMessage(text, &message));
    }

} // namespace

ConfigurationImage imageOf(const schema::Configuration& configuration)
{
    ConfigurationImage image;
    image.revision = configuration.revision();
    image.items = itemsOf(configuration);
    std::sort(image.items.begin(), image.items.end(), [](const auto& a, const auto& b) { return a.key < b.key; });
    for (const schema::PublishStampRecord& record : configuration.history()) {
        image.history.push_back(stampOf(record));
    }
    return image;
}

std::vector<ServiceFileContent> contentOf(std::span<const ServiceDocument> documents)
{
    std::vector<ServiceFileContent> contents;
    for (const ServiceDocument& document : documents) {
        contents.push_back({ .path = document.file, .items = itemsOf(document.content) });
    }
    return contents;
}

schema::Configuration configurationOf(const ConfigurationImage& image)
{
    schema::Configuration configuration;
    configuration.set_revision(image.revision);
    if (!image.history.empty()) {
        configuration.set_publish_id(image.history.back().publishId);
    }
    for (const ConfigurationItem& item : image.items) {
        if (item.key.kind == ItemKind::Service) {
            parseInto(item.canonicalText, *configuration.add_services());
        } else {
            parseInto(item.canonicalText, *configuration.add_customers());
        }
    }
    for (const PublishStamp& stamp : image.history) {
        write(stamp, *configuration.add_history());
    }
    return configuration;
}

std::string describeItem(const ItemKey& key)
{
    return (key.kind == ItemKind::Service ? "service " : "customer ") + key.name;
}

} // namespace siskinspread
