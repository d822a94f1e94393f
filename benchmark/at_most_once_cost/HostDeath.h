#pragma once

#include <cstddef>

namespace siskinspread::benchmark {

/**
 * Kills the owner of an open at-most-once request `deaths` times, each in a new system of two failure domains with two
 * hosts each, and prints the time until the account of that request is final at another host, and until a second try
 * with its key is answered finally.
 */
void measureHostDeath(size_t deaths);

} // namespace siskinspread::benchmark
