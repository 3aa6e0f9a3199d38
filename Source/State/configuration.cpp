#include "State/configuration.h"

#include <charconv>

namespace Oleander::State {

void Configuration::applyRecord(const Records::Record &record)
{
    const auto *spec = std::get_if<Records::ConfigurationSpec>(&record.spec);
    if (!spec)
        return;
    // Names of records and values never contain the separator, so values of different records never
    // have the same name.
    const auto prefix = record.name + "/";
    auto it = values.lower_bound(prefix);
    while (it != values.end() && it->first.compare(0, prefix.size(), prefix) == 0)
        it = values.erase(it);
    if (!record.withdrawn) {
        for (const auto &[name, value] : spec->values)
            values[prefix + name] = value;
    }
    version = record.index;
}

std::uint64_t Configuration::number(const std::string &name, std::uint64_t least,
                                    std::uint64_t most, std::uint64_t fallback) const
{
    const auto found = values.find(name);
    if (found == values.end())
        return fallback;
    const auto &text = found->second;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWholeNumber = error == std::errc() && end == text.data() + text.size();
    return isWholeNumber && value >= least && value <= most ? value : fallback;
}

} // namespace Oleander::State
