#pragma once

#include "Base/error.h"
#include "Records/record.h"

#include <cstdint>
#include <span>
#include <string>

namespace Oleander::Records {

/** A whole number of the configuration that the system itself reads. */
struct SystemValue
{
    /** "<record>/<value>". */
    const char *name;
    std::uint64_t min;
    std::uint64_t max;
    std::uint64_t fallback;
};

/** Name of the configuration record whose values are all known to the system. */
constexpr std::string_view SystemRecord = "system";

/** Events of the history that are kept. */
constexpr SystemValue EventsKept = {"system/events-kept", 100, 1'000'000, 10'000};
/** Answers about single records that are kept for resends. */
constexpr SystemValue AnswersKept = {"system/answers-kept", 100, 1'000'000, 20'000};
/** Withdrawn records that are kept for reading. */
constexpr SystemValue WithdrawnKept = {"system/withdrawn-kept", 100, 1'000'000, 10'000};

/** Every value that the system reads. */
std::span<const SystemValue> systemValues();

/** Checks the values of the record that the system reads; other records may hold any. */
Result<void> checkSystemValues(const RecordKey &key, const Spec &spec);

} // namespace Oleander::Records
