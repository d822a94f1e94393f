#include "siskinspread/UrlText.h"

#include <curl/curl.h>

#include <memory>
#include <new>

namespace siskinspread {

std::string percentEncoded(std::string_view text)
{
    if (text.empty()) {
        return {}; // the library takes a length of 0 for "up to the first NUL"
    }
    const std::unique_ptr<char, decltype(&curl_free)> encoded { curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free };
    if (!encoded) {
        throw std::bad_alloc {};
    }
    return encoded.get();
}

} // namespace siskinspread
