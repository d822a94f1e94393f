#include "siskinspread/ServiceFile.h"

#include "ProblemCollector.h"

#include <set>

namespace siskinspread {

namespace {

    /** Where something is described: a document and a key in it. */
    struct Place {
        const ServiceDocument* document;
        std::string key;
    };

    /** One backend server with the service that lists it. */
    struct ListedServer {
        Place place;
        const schema::Service* service;
        const schema::BackendServer* server;
    };

    /** A version of a model or an adapter, and where it is wanted. */
    struct VersionPlace {
        std::string version;
        Place place;
    };

    std::string describePlace(const Place& place)
    {
        const uint32_t line = lineOfKey(place.document->lines, place.key);
        return place.document->file + (line ? ":" + std::to_string(line) : "") + " (" + place.key + ")";
    }

    /** The checks of several documents; each member adds to `problems`. */
    struct Together {
        std::vector<SettingsProblem>& problems;

        void add(const Place& place, std::string text)
        {
            ProblemCollector { place.document->file, place.document->lines, problems }.add(place.key, std::move(text));
        }

        /** Reports `place` when an earlier place has the same value. */
        void unique(std::map<std::string, Place>& seen, const std::string& value, const Place& place, const std::string& what)
        {
            const auto [earlier, inserted] = seen.emplace(value, place);
            if (!inserted) {
                add(place, what + " is also in " + describePlace(earlier->second) + "; allowed: one");
            }
        }

        void services(std::span<const ServiceDocument> documents);
        void customers(std::span<const ServiceDocument> documents, std::set<std::string>& names);
        void limits(std::span<const ServiceDocument> documents, const std::set<std::string>& customers);
        void pools(std::span<const ServiceDocument> documents);
        void engineLoads(std::span<const ServiceDocument> documents);
        void oneVersion(std::map<std::string, VersionPlace>& seen, const std::string& name, const VersionPlace& item);
        void servers(std::span<const ServiceDocument> documents);
        void sameName(const ListedServer& server, const ListedServer& earlier);
        void sameAddress(const ListedServer& server, const ListedServer& earlier);
    };

    template <typename Visit>
    void eachService(std::span<const ServiceDocument> documents, Visit visit)
    {
        for (const ServiceDocument& document : documents) {
            for (int index = 0; index < document.content.services_size(); ++index) {
                visit(document.content.services(index), Place { &document, indexKey("services", static_cast<size_t>(index)) });
            }
        }
    }

    Place inside(const Place& place, const std::string& name)
    {
        return { place.document, place.key + "." + name };
    }

    Place inside(const Place& place, const std::string& list, int index)
    {
        return { place.document, indexKey(place.key + "." + list, static_cast<size_t>(index)) };
    }

    void Together::services(std::span<const ServiceDocument> documents)
    {
        std::map<std::string, Place> seen;
        eachService(documents, [&](const schema::Service& service, const Place& place) {
            unique(seen, service.name(), inside(place, "name"), "service \"" + service.name() + "\"");
        });
    }

    void Together::customers(std::span<const ServiceDocument> documents, std::set<std::string>& names)
    {
        std::map<std::string, Place> seenNames;
        std::map<std::string, Place> seenKeys;
        for (const ServiceDocument& document : documents) {
            for (int index = 0; index < document.content.customers_size(); ++index) {
                const schema::Customer& customer = document.content.customers(index);
                const std::string key = indexKey("customers", static_cast<size_t>(index));
                names.insert(customer.name());
                unique(seenNames, customer.name(), { &document, key + ".name" }, "customer \"" + customer.name() + "\"");
                unique(seenKeys, customer.key_sha256(), { &document, key + ".key_sha256" }, "this key");
            }
        }
    }

    void Together::limits(std::span<const ServiceDocument> documents, const std::set<std::string>& customers)
    {
        eachService(documents, [&](const schema::Service& service, const Place& place) {
            for (int index = 0; index < service.customer_limits_size(); ++index) {
                const std::string& customer = service.customer_limits(index).customer();
                if (!customers.contains(customer)) {
                    add(inside(inside(place, "customer_limits", index), "customer"), "\"" + customer + "\" is not a customer that any of the files describes; allowed: a name from customers");
                }
            }
        });
    }

    void Together::pools(std::span<const ServiceDocument> documents)
    {
        std::map<std::string, std::pair<const schema::Service*, Place>> seen;
        eachService(documents, [&](const schema::Service& service, const Place& place) {
            const auto [earlier, inserted] = seen.emplace(service.pool(), std::pair { &service, place });
            const schema::Service& other = *earlier->second.first;
            if (!inserted && other.kind() != service.kind()) {
                add(inside(place, "kind"), "differs from that of " + describePlace(earlier->second.second) + ", which uses the same pool; allowed: one kind in a pool");
            }
            if (!inserted && other.checks_fencing_numbers() != service.checks_fencing_numbers()) {
                add(inside(place, "checks_fencing_numbers"), "differs from that of " + describePlace(earlier->second.second) + ", which uses the same pool; allowed: one value in a pool");
            }
        });
    }

    void Together::oneVersion(std::map<std::string, VersionPlace>& seen, const std::string& name, const VersionPlace& item)
    {
        const auto [earlier, inserted] = seen.emplace(name, item);
        if (!inserted && earlier->second.version != item.version) {
            add(item.place, "is \"" + item.version + "\"; allowed: \"" + earlier->second.version + "\", as in " + describePlace(earlier->second.place) + ", which uses the same pool");
        }
    }

    void Together::engineLoads(std::span<const ServiceDocument> documents)
    {
        std::map<std::string, std::pair<const schema::Service*, Place>> seen;
        std::map<std::string, VersionPlace> models;
        std::map<std::string, VersionPlace> adapters;
        eachService(documents, [&](const schema::Service& service, const Place& place) {
            const auto [earlier, inserted] = seen.emplace(service.pool(), std::pair { &service, place });
            const schema::Service& other = *earlier->second.first;
            const std::string where = describePlace(earlier->second.second);
            if (other.has_engine_loads() != service.has_engine_loads()) {
                add(inside(place, "engine_loads"), "is not in both this service and that of " + where + ", which uses the same pool; allowed: in all services of a pool or in none");
                return;
            }
            const schema::EngineLoads& loads = service.engine_loads();
            if (other.engine_loads().role() != loads.role()) {
                add(inside(place, "engine_loads.role"), "differs from that of " + where + ", which uses the same pool; allowed: one role in a pool");
            }
            const std::string& model = loads.model().empty() ? service.name() : loads.model();
            oneVersion(models, service.pool() + "/" + model, { .version = loads.version(), .place = inside(place, "engine_loads.version") });
            for (int index = 0; index < loads.adapters_size(); ++index) {
                const Place version = inside(inside(place, "engine_loads.adapters", index), "version");
                oneVersion(adapters, service.pool() + "/" + loads.adapters(index).name(), { .version = loads.adapters(index).version(), .place = version });
            }
        });
    }

    void Together::sameName(const ListedServer& server, const ListedServer& earlier)
    {
        if (earlier.server->address() != server.server->address()) {
            add(inside(server.place, "address"), "differs from that of \"" + server.server->name() + "\" in " + describePlace(earlier.place) + "; allowed: one address for a backend server");
        }
    }

    void Together::sameAddress(const ListedServer& server, const ListedServer& earlier)
    {
        const std::string other = describePlace(earlier.place);
        if (earlier.service->pool() != server.service->pool()) {
            add(inside(server.place, "address"), server.server->address() + " is in pool \"" + earlier.service->pool() + "\" in " + other + "; allowed: one pool for a backend server");
            return;
        }
        if (earlier.server->name() != server.server->name()) {
            add(inside(server.place, "name"), "differs from that of the same address in " + other + "; allowed: one name for a backend server");
        }
        if (earlier.server->failure_domain() != server.server->failure_domain()) {
            add(inside(server.place, "failure_domain"), "differs from that of the same address in " + other + "; allowed: one failure domain for a backend server");
        }
        if (earlier.server->price_per_hour() != server.server->price_per_hour()) {
            add(inside(server.place, "price_per_hour"), "differs from that of the same address in " + other + "; allowed: one price for a backend server");
        }
    }

    void Together::servers(std::span<const ServiceDocument> documents)
    {
        std::map<std::string, ListedServer> byName;
        std::map<std::string, ListedServer> byAddress;
        eachService(documents, [&](const schema::Service& service, const Place& place) {
            for (int index = 0; index < service.backend_servers_size(); ++index) {
                const schema::BackendServer& server = service.backend_servers(index);
                const ListedServer listed { inside(place, "backend_servers", index), &service, &server };
                const auto [sameNamed, newName] = byName.emplace(server.name(), listed);
                const auto [samePlaced, newAddress] = byAddress.emplace(server.address(), listed);
                const auto inOtherService = [&](const ListedServer& earlier) { return earlier.service != &service; };
                if (!newName && inOtherService(sameNamed->second)) {
                    sameName(listed, sameNamed->second);
                }
                if (!newAddress && inOtherService(samePlaced->second)) {
                    sameAddress(listed, samePlaced->second);
                }
            }
        });
    }

} // namespace

std::vector<SettingsProblem> checkTogether(std::span<const ServiceDocument> documents, const CheckTogetherOptions& options)
{
    std::vector<SettingsProblem> problems;
    std::set<std::string> customers { options.knownCustomers.begin(), options.knownCustomers.end() };
    Together together { .problems = problems };
    together.services(documents);
    together.customers(documents, customers);
    if (!options.allowUnknownCustomers) {
        together.limits(documents, customers);
    }
    together.pools(documents);
    together.engineLoads(documents);
    together.servers(documents);
    sortProblems(problems);
    return problems;
}

} // namespace siskinspread
