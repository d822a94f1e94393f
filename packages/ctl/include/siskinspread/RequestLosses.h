#pragma once

#include <chrono>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace siskinspread {

/** Requests that ended alike for a caller who was not served, or was served late. */
struct LossRow {
    std::string result {}; /**< Name of the result code, or "late". */
    std::string run {}; /**< Whether they ran, as the hosts logged it. */
    std::string why {};
    uint64_t requests { 0 };
    std::string firstAt {}; /**< Time of the first one as its host logged it. */
    std::string lastAt {};
    std::string example {}; /**< Attempt id of the first one. */
};

/** What hosts' log lines say of requests. */
struct LossReport {
    uint64_t answered { 0 }; /**< Requests that had a final answer. */
    uint64_t inTime { 0 }; /**< Of these, successes whose first byte came before the bound. */
    uint64_t unreadable { 0 }; /**< Lines that hold an object that cannot be read. */
    uint64_t leftOut { 0 }; /**< Lines that hosts said they left out: what they would have told is missing here. */
    std::vector<LossRow> rows {}; /**< Most requests first. */
};

/** What counts as late. */
struct LossOptions {
    std::chrono::milliseconds late { 600 }; /**< To the first byte, from the arrival at a host. */
};

/** Gathers a report from log lines. */
class RequestLosses {
public:
    explicit RequestLosses(LossOptions);

    /**
     * Reads log lines of hosts to the end of the stream, in any order of hosts, each host's in order. Text before the object of a
     * line is passed over, so that lines may carry a collector's prefix. Thread safety: none.
     */
    void read(std::istream&);

    /** @return what was read so far. Thread safety: const. */
    LossReport report() const;

private:
    using Key = std::tuple<std::string, std::string, std::string>;

    void readObject(const std::string& text);

    LossOptions m_options;
    LossReport m_totals;
    std::map<Key, LossRow> m_rows;
    std::map<std::string, std::chrono::milliseconds> m_waited; /**< By attempt id, until its final answer. */
};

} // namespace siskinspread
