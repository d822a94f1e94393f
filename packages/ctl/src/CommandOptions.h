#pragma once

#include "siskinspread/CommandLine.h"
#include "siskinspread/Ids.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace siskinspread {

namespace po = boost::program_options;

using Words = std::vector<std::string>;

/** The options of one command. */
struct CommandSyntax {
    std::string usage {};
    std::string summary {};
    std::string positional {}; /**< Name of the positional arguments; empty when there are none. */
    int maxPositional { -1 }; /**< -1: any number. */
    po::options_description options { "options" };
};

/** @return the help of a command. Thread safety: reentrant. */
std::string helpText(const CommandSyntax& syntax);

/**
 * Parses the words of a command; adds --help, --output and --timeout to `syntax`. Abbreviated options are refused.
 * @param reason set to MalformedRequest on an unknown option, a missing value or too many arguments.
 * Thread safety: reentrant.
 */
std::optional<po::variables_map> parseWords(CommandSyntax& syntax, const Words& words, LastReason& reason);

/** Adds --entry-host, which may be repeated. */
void addEntryHostOption(CommandSyntax& syntax);

/** Adds --wait and --wait-timeout. */
void addWaitOptions(CommandSyntax& syntax, const char* waitText);

/** @return the values of a repeated option or argument. Thread safety: reentrant. */
Words wordsOf(const po::variables_map& values, const std::string& name);

/** @return the value of an option, or an empty string. Thread safety: reentrant. */
std::string wordOf(const po::variables_map& values, const std::string& name);

/** Reads --output and --timeout; `reason` is set to MalformedRequest on a value that is not allowed. */
bool readCommon(const po::variables_map& values, CommonArguments& common, LastReason& reason);

/** Reads --wait and --wait-timeout; `reason` as above. */
bool readWait(const po::variables_map& values, bool& wait, std::chrono::seconds& waitTimeout, LastReason& reason);

/** Checks that the value of an option or argument is a URL; `reason` as above. */
bool checkUrl(const std::string& name, const std::string& url, LastReason& reason);

/** Checks that the value of an option, where given, is a URL; `reason` as above. */
bool readUrls(const po::variables_map& values, const std::string& name, LastReason& reason);

/** Reads --entry-host; `reason` as above, also when there is none although it is required. */
bool readEntryHosts(const po::variables_map& values, bool required, std::vector<std::string>& entryHosts, LastReason& reason);

} // namespace siskinspread
