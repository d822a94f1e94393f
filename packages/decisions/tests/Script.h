#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

namespace siskinspread {

/** @return numbers over their full range, which rapidcheck's own integers reach only in the last cases. */
template <typename Number = uint32_t>
std::vector<Number> arbitraryScript(size_t length)
{
    return *rc::gen::container<std::vector<Number>>(length, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<Number>()));
}

} // namespace siskinspread
