#pragma once

#include <cstdint>

namespace Oleander {

/** Largest resources of one machine, and so of one task; sums over a fleet stay far below the range
 * of 64 bits. */
constexpr std::uint64_t MaxMilliCores = 4'096'000;
constexpr std::uint64_t MaxMemoryMiB = 64ULL * 1024 * 1024;
constexpr std::uint64_t MaxAccelerators = 1024;

} // namespace Oleander
