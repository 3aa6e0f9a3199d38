#pragma once

#include "Base/error.h"
#include "Records/record.h"

#include <cstdint>
#include <span>
#include <string>

namespace Oleander::Records {

/** A configuration value that the scheduler itself reads; always an integer. */
struct SystemValue
{
    /** "RECORD/VALUE": configuration record and key. */
    const char *name;
    std::uint64_t min;
    std::uint64_t max;
    std::uint64_t fallback;
};

/** Name of the configuration record that may contain only the values in systemValues(). */
constexpr std::string_view SystemRecord = "system";

/** Maximum number of events in the history. */
constexpr SystemValue EventsKept = {"system/events-kept", 100, 1'000'000, 10'000};
/** Maximum number of single-record answers stored for resends. */
constexpr SystemValue AnswersKept = {"system/answers-kept", 100, 1'000'000, 20'000};
/** Maximum number of withdrawn records that remain readable. */
constexpr SystemValue WithdrawnKept = {"system/withdrawn-kept", 100, 1'000'000, 10'000};

/** All values that the scheduler reads. */
std::span<const SystemValue> systemValues();

/** Checks the values of the configuration record SystemRecord; accepts any other record. */
Result<void> checkSystemValues(const RecordKey &key, const Spec &spec);

} // namespace Oleander::Records
