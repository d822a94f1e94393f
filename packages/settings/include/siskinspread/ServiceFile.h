#pragma once

#include "siskinspread/LastReason.h"
#include "siskinspread/SettingsProblem.h"

#include "service.pb.h"

#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinspread {

/** A service file that has passed the checks that concern it alone, with what is needed to name its lines. */
struct ServiceDocument {
    std::string file;
    schema::ServiceFile content;
    KeyLines lines;
};

/**
 * Reads, checks and completes one service file. Faults that show only beside other files (a customer that is described
 * elsewhere, two files that claim one service) are left to checkTogether.
 * @param reason set to InvalidConfiguration, with all problems as its detail, one a line.
 * @param problems receives the problems found, sorted, when it is not null.
 * Thread safety: reentrant.
 */
std::optional<ServiceDocument> loadServiceDocument(const std::filesystem::path& path, LastReason& reason, std::vector<SettingsProblem>* problems = nullptr);

/**
 * Like loadServiceDocument, from the text of a file.
 * @param file the name that problems carry.
 * Thread safety: reentrant.
 */
std::optional<ServiceDocument> parseServiceDocument(std::string_view text, const std::string& file, LastReason& reason, std::vector<SettingsProblem>* problems = nullptr);

/** Like loadServiceDocument, for a caller that needs the content only. Thread safety: reentrant. */
std::optional<schema::ServiceFile> loadServiceFile(const std::filesystem::path& path, LastReason& reason, std::vector<SettingsProblem>* problems = nullptr);

/** Like parseServiceDocument, for a caller that needs the content only. Thread safety: reentrant. */
std::optional<schema::ServiceFile> parseServiceFile(std::string_view text, const std::string& file, LastReason& reason, std::vector<SettingsProblem>* problems = nullptr);

/** What is known beside the files that are checked together. */
struct CheckTogetherOptions {
    std::span<const std::string> knownCustomers {}; /**< Described elsewhere, for example in the configuration in force. */
    bool allowUnknownCustomers { false }; /**< Leaves customers in limits to a later check of the whole configuration. */
};

/**
 * Checks service files beside each other: one description for each service and customer, limits for known customers
 * only, backend servers that agree with each other and with their pool.
 * @param documents files that passed parseServiceDocument.
 * @return all problems, sorted; empty when there are none.
 * Thread safety: reentrant.
 */
std::vector<SettingsProblem> checkTogether(std::span<const ServiceDocument> documents, const CheckTogetherOptions& options = {});

/**
 * Applies every check of service files to a configuration that did not come from files, for example one read from the
 * platform or from a peer. Problems carry the file name "configuration" and no line.
 * @return all problems, sorted; empty when there are none.
 * Thread safety: reentrant.
 */
std::vector<SettingsProblem> checkConfiguration(const schema::Configuration& configuration);

/** Sets the absent fields of a configuration that have a default. Thread safety: none for `configuration`. */
void fillConfigurationDefaults(schema::Configuration& configuration);

} // namespace siskinspread
