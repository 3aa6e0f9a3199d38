#include "Records/knownvalues.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace Oleander::Records {

namespace {

constexpr std::array<KnownValue, 3> Known = {EventsKept, AnswersKept, WithdrawnKept};

std::string checkValue(const std::string &name, const std::string &text)
{
    const auto found = std::find_if(Known.begin(), Known.end(),
                                    [&](const auto &known) { return known.name == name; });
    if (found == Known.end()) {
        std::vector<std::string_view> names;
        names.reserve(Known.size());
        for (const auto &known : Known)
            names.emplace_back(known.name);
        return fmt::format("Value '{}' is not known (value \"{}\"); allowed are {}.", name, text,
                           fmt::join(names, ", "));
    }
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size() && number >= found->least
        && number <= found->most)
        return {};
    return fmt::format("Value '{}' is \"{}\"; allowed is a whole number from {} to {}.", name, text,
                       found->least, found->most);
}

} // namespace

std::span<const KnownValue> knownValues()
{
    return Known;
}

Result<void> checkKnownValues(const RecordKey &key, const Spec &spec)
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
