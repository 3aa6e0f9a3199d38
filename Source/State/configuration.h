#pragma once

#include "Protocol/fields.h"
#include "Records/record.h"

#include <cstdint>
#include <map>
#include <string>

namespace Oleander::State {

/** The configuration values in force, named "<record>/<value>", and their version. */
struct Configuration
{
    /** Log index of the command that last changed a configuration record; 0 before the first. */
    std::uint64_t version = 0;
    std::map<std::string, std::string> values;

    bool operator==(const Configuration &) const = default;

    /** Applies an accepted, amended or withdrawn configuration record; ignores other records. */
    void applyRecord(const Records::Record &record);
    /** Returns the value \a name as an integer from \a least to \a most; \a fallback if it is
     * missing, malformed or out of range. */
    std::uint64_t number(const std::string &name, std::uint64_t least, std::uint64_t most,
                         std::uint64_t fallback) const;
};

template<typename F>
void visitFields(F &&f, Fields<Configuration> auto &&v)
{
    f(v.version);
    f(v.values);
}

} // namespace Oleander::State
