#include "Records/systemvalues.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace Oleander::Records {

namespace {

constexpr std::array<SystemValue, 3> SystemValues = {EventsKept, AnswersKept, WithdrawnKept};

std::string checkValue(const std::string &name, const std::string &text)
{
    const auto found = std::find_if(SystemValues.begin(), SystemValues.end(),
                                    [&](const auto &known) { return known.name == name; });
    if (found == SystemValues.end()) {
        std::vector<std::string_view> names;
        names.reserve(SystemValues.size());
        for (const auto &known : SystemValues)
            names.emplace_back(known.name);
        return fmt::format("Value '{}' is not known (value \"{}\"); allowed are {}.", name, text,
                           fmt::join(names, ", "));
    }
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size() && number >= found->min
        && number <= found->max)
        return {};
    return fmt::format("Value '{}' is \"{}\"; allowed is a whole number from {} to {}.", name, text,
                       found->min, found->max);
}

} // namespace

std::span<const SystemValue> systemValues()
{
    return SystemValues;
}

Result<void> checkSystemValues(const RecordKey &key, const Spec &spec)
{
    const auto *configuration = std::get_if<ConfigurationSpec>(&spec);
    if (!configuration || key.name != SystemRecord)
        return {};
    std::vector<std::string> errors;
    for (const auto &[name, text] : configuration->values) {
        auto error = checkValue(key.name + "/" + name, text);
        if (!error.empty())
            errors.push_back(std::move(error));
    }
    if (errors.empty())
        return {};
    return fail(Failure::InvalidInput, Step::Receive, {},
                fmt::format("{}", fmt::join(errors, " ")));
}

} // namespace Oleander::Records
