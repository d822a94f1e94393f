#pragma once

#include "siskinspread/Ids.h"
#include "siskinspread/LastReason.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace siskinspread {

/** How a command prints its result. */
enum class OutputFormat : uint8_t {
    Text,
    Json,
};

/** Options that every command has. */
struct CommonArguments {
    OutputFormat output { OutputFormat::Text };
    std::chrono::milliseconds timeout { 0 }; /**< Longest time of one call over the network. */
};

/** `siskinctl check [--settings FILE]... [FILE|DIR]...` */
struct CheckArguments {
    CommonArguments common;
    std::vector<std::string> serviceFiles; /**< Files, and directories whose *.toml files are taken. */
    std::vector<std::string> settingsFiles;
};

/** `siskinctl publish --object-api URL [--wait] FILE|DIR...` */
struct PublishArguments {
    CommonArguments common;
    std::vector<std::string> serviceFiles; /**< As for check. */
    std::string objectApi; /**< http://IP:port. */
    std::vector<std::string> entryHosts; /**< http://IP:port of the peer ports; needed for `wait`. */
    bool wait { false }; /**< Wait until every live host has the revision in force. */
    std::chrono::seconds waitTimeout { 0 };
};

/** `siskinctl status --entry-host URL...` */
struct StatusArguments {
    CommonArguments common;
    std::vector<std::string> entryHosts; /**< Tried in this order. */
};

/** `siskinctl account --entry-host URL... [--customer-key-file FILE] ID|--key KEY` */
struct AccountArguments {
    CommonArguments common;
    std::vector<std::string> entryHosts; /**< Tried in this order. */
    std::string customer; /**< Who sent `key`. */
    std::optional<RequestId> requestId; /**< Either this or `key`. */
    std::optional<std::string> key; /**< The idempotency key that the customer sent. */
};

/** `siskinctl drain [--wait] HOST` */
struct DrainArguments {
    CommonArguments common;
    std::string host; /**< http://IP:port of the peer port of the entry host that is to stop. */
    bool wait { false }; /**< Wait until its process has ended. */
    std::chrono::seconds waitTimeout { 0 };
};

/** `siskinctl losses [--late MS] FILE...` */
struct LossesArguments {
    CommonArguments common;
    std::vector<std::string> files; /**< Log lines of hosts; "-" is the standard input. */
    std::chrono::milliseconds late { 0 }; /**< First bytes after this count as late. */
};

/** A text to print in place of running a command: help or version. */
struct ShowText {
    std::string text;
};

/** What a command line asks for. */
using Command = std::variant<ShowText, CheckArguments, PublishArguments, StatusArguments, AccountArguments, DrainArguments, LossesArguments>;

/**
 * @param arguments the words after the program's name.
 * @param reason set to MalformedRequest with a sentence for the operator when the command line cannot be understood.
 * Thread safety: reentrant.
 */
std::optional<Command> parseCommandLine(std::span<const std::string> arguments, LastReason& reason);

} // namespace siskinspread
