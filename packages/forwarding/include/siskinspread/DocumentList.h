#pragma once

#include "siskinspread/PlatformAdapter.h"

#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace siskinspread {

/** The pages of one list of a collection, as far as they have been read. */
struct DocumentList {
    std::vector<StoreDocument> documents;
    std::unordered_set<std::string> names; /**< Of `documents`. */
    std::optional<uint64_t> asOf; /**< Revision that the first page shows; empty before it. */
};

/** What follows a page of a list. */
enum class ListProgress : uint8_t {
    Complete,
    NextPage, /**< To be asked for with the name of the last document. */
    NotAdvancing, /**< There is more, but the page names nothing that earlier ones did not: the next one would be the same. */
};

/** Adds a page. @return what follows it. Thread safety: safe while no other thread uses `list`. */
ListProgress addPage(DocumentList& list, StorePage&& page);

} // namespace siskinspread
