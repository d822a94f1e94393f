#include "siskinspread/DocumentList.h"

namespace siskinspread {

ListProgress addPage(DocumentList& list, StorePage&& page)
{
    // Later pages show later revisions, so what changes between two pages is known only from a watch that begins with the first.
    list.asOf = list.asOf.value_or(page.asOf);
    bool advances = false;
    for (auto& document : page.documents) {
        advances = list.names.insert(document.name).second || advances;
        list.documents.push_back(std::move(document));
    }
    if (!page.truncated) {
        return ListProgress::Complete;
    }
    return advances ? ListProgress::NextPage : ListProgress::NotAdvancing;
}

} // namespace siskinspread
