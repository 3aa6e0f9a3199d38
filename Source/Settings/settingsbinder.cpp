#include "Settings/settingsbinder.h"

#include "Protocol/failuredomain.h"
#include "Settings/settingsvalue.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

constexpr const char *AllowedName = "1 to 63 lower-case letters, digits, dots and hyphens";
constexpr const char *PeerKeyPlaceholder = "NAME";

const char *allowedAddress(PortRule rule)
{
    return rule == PortRule::NonZero
               ? "ADDRESS:PORT with an IPv4 number and a port of 1 to 65535"
               : "ADDRESS:PORT with an IPv4 number and a port of 0 to 65535, 0 for any free one";
}

bool isPortAllowed(std::string_view address, PortRule rule)
{
    return rule == PortRule::AllowZero || portOf(address) != 0;
}

/** Splits \a text at commas; an empty text has no parts, and a comma at its end adds none. */
std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        parts.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

} // namespace

SettingsBinder::SettingsBinder(IniFile file) : file_(std::move(file)) {}

void SettingsBinder::name(const char *section, const char *key, std::string &field,
                          Presence presence)
{
    const auto *entry = declareKey(section, key, presence, AllowedName);
    if (entry == nullptr)
        return;
    if (!isName(entry->value))
        addEntryError(*entry, "The value is not a name.", AllowedName);
    else
        field = entry->value;
}

void SettingsBinder::address(const char *section, const char *key, std::string &field,
                             Presence presence, PortRule rule)
{
    const auto *entry = declareKey(section, key, presence, allowedAddress(rule));
    if (entry == nullptr)
        return;
    if (!isAddress(entry->value) || !isPortAllowed(entry->value, rule))
        addEntryError(*entry, "The value is not an address.", allowedAddress(rule));
    else
        field = entry->value;
}

void SettingsBinder::addresses(const char *section, const char *key,
                               std::vector<std::string> &field, Presence presence)
{
    constexpr const char *Allowed =
        "ADDRESS:PORT with an IPv4 number, several with commas between them";
    const auto *entry = declareKey(section, key, presence, Allowed);
    if (entry == nullptr)
        return;
    std::vector<std::string> found = splitList(entry->value);
    if (!std::ranges::all_of(found, isAddress))
        return addEntryError(*entry, "The value contains an invalid address.", Allowed);
    field = std::move(found);
}

void SettingsBinder::failureDomains(const char *section, const char *key,
                                    std::vector<std::string> &field)
{
    constexpr const char *Allowed =
        "names of 1 to 128 bytes without spaces and slashes, several with commas between them";
    const auto *entry = declareKey(section, key, Presence::Optional, Allowed);
    if (entry == nullptr)
        return;
    std::vector<std::string> found = splitList(entry->value);
    if (!std::ranges::all_of(found, isFailureDomainName))
        return addEntryError(*entry, "The value contains an invalid name.", Allowed);
    for (auto name = found.begin(); name != found.end(); ++name) {
        if (std::find(found.begin(), name, *name) != name)
            return addEntryError(*entry, "The value contains a name twice.", Allowed);
    }
    field = std::move(found);
}

void SettingsBinder::boolean(const char *section, const char *key, bool &field)
{
    constexpr const char *Allowed = "true or false";
    const auto *entry = declareKey(section, key, Presence::Optional, Allowed);
    if (entry == nullptr)
        return;
    if (entry->value != "true" && entry->value != "false")
        return addEntryError(*entry, "The value is not a boolean.", Allowed);
    field = entry->value == "true";
}

void SettingsBinder::folder(const char *section, const char *key, std::string &field,
                            Presence presence)
{
    constexpr const char *Allowed = "the absolute path of a folder";
    const auto *entry = declareKey(section, key, presence, Allowed);
    if (entry == nullptr)
        return;
    if (!entry->value.starts_with('/'))
        addEntryError(*entry, "The path is not absolute.", Allowed);
    else
        field = entry->value;
}

void SettingsBinder::duration(const char *section, const char *key, Duration &field, Duration min,
                              Duration max)
{
    const std::string allowed =
        fmt::format("{} to {}, with the unit ms, s or min", durationText(min), durationText(max));
    const auto *entry = declareKey(section, key, Presence::Optional, allowed);
    if (entry == nullptr)
        return;
    const auto value = parseDuration(entry->value);
    if (!value)
        addEntryError(*entry, "The value is not a duration.", allowed);
    else if (*value < min || *value > max)
        addEntryError(*entry, "The duration is out of range.", allowed);
    else
        field = *value;
}

void SettingsBinder::bytes(const char *section, const char *key, std::uint64_t &field,
                           std::uint64_t min, std::uint64_t max, Presence presence)
{
    const std::string allowed =
        fmt::format("{} to {}, with the unit B, KiB, MiB or GiB", bytesText(min), bytesText(max));
    const auto *entry = declareKey(section, key, presence, allowed);
    if (entry == nullptr)
        return;
    const auto value = parseBytes(entry->value);
    if (!value)
        addEntryError(*entry, "The value is not a size.", allowed);
    else if (*value < min || *value > max)
        addEntryError(*entry, "The size is out of range.", allowed);
    else
        field = *value;
}

void SettingsBinder::decimal(const char *section, const char *key, double &field, double min,
                             double max)
{
    const std::string allowed = fmt::format("a decimal number of {} to {}", min, max);
    const auto *entry = declareKey(section, key, Presence::Optional, allowed);
    if (entry == nullptr)
        return;
    const auto value = parseDecimal(entry->value);
    if (!value)
        addEntryError(*entry, "The value is not a decimal number.", allowed);
    else if (*value < min || *value > max)
        addEntryError(*entry, "The number is out of range.", allowed);
    else
        field = *value;
}

void SettingsBinder::number(const char *section, const char *key, std::uint64_t &field,
                            std::uint64_t min, std::uint64_t max, Presence presence)
{
    const std::string allowed = fmt::format("a whole number of {} to {}", min, max);
    const auto *entry = declareKey(section, key, presence, allowed);
    if (entry == nullptr)
        return;
    const auto value = parseNumber(entry->value);
    if (!value)
        addEntryError(*entry, "The value is not a whole number.", allowed);
    else if (*value < min || *value > max)
        addEntryError(*entry, "The number is out of range.", allowed);
    else
        field = *value;
}

void SettingsBinder::peers(const char *section, std::vector<PeerAddress> &field)
{
    const char *allowed = allowedAddress(PortRule::NonZero);
    keys_.push_back({section, PeerKeyPlaceholder, Presence::Optional, allowed});
    peerSections_.insert(section);
    for (const auto &entry : file_.entries) {
        if (entry.section != section)
            continue;
        if (!isName(entry.key))
            addEntryError(entry, "The key is not the name of a process.", AllowedName);
        else if (!isAddress(entry.value) || !isPortAllowed(entry.value, PortRule::NonZero))
            addEntryError(entry, "The value is not an address.", allowed);
        else
            field.push_back({entry.key, entry.value});
    }
}

void SettingsBinder::addError(const char *section, const char *key, std::string problem,
                              std::string allowed)
{
    const auto it = std::ranges::find_if(file_.entries, [&](const IniEntry &entry) {
        return entry.section == section && entry.key == key;
    });
    if (it != file_.entries.end()) {
        addEntryError(*it, std::move(problem), std::move(allowed));
        return;
    }
    file_.errors.push_back(
        {file_.name, 0, section, key, {}, std::move(problem), std::move(allowed)});
}

void SettingsBinder::finish()
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto &entry : file_.entries) {
        if (!seen.emplace(entry.section, entry.key).second) {
            addEntryError(entry, "The key appears twice in its section.", "each key once");
            continue;
        }
        if (peerSections_.contains(entry.section))
            continue;
        std::string keysInSection;
        bool isKnown = false;
        for (const auto &key : keys_) {
            isKnown = isKnown || (key.section == entry.section && key.key == entry.key);
            if (key.section == entry.section)
                keysInSection += (keysInSection.empty() ? "" : ", ") + key.key;
        }
        if (isKnown)
            continue;
        if (!keysInSection.empty()) {
            addEntryError(entry, "The key is unknown in this section.", keysInSection);
            continue;
        }
        std::set<std::string> sections;
        for (const auto &key : keys_)
            sections.insert(key.section);
        addEntryError(entry, "The section is unknown.",
                      fmt::format("{}", fmt::join(sections, ", ")));
    }
    std::ranges::stable_sort(file_.errors, {}, &SettingsError::line);
}

const IniEntry *SettingsBinder::declareKey(const char *section, const char *key, Presence presence,
                                           std::string allowed)
{
    keys_.push_back({section, key, presence, allowed});
    const auto it = std::ranges::find_if(file_.entries, [&](const IniEntry &entry) {
        return entry.section == section && entry.key == key;
    });
    if (it != file_.entries.end())
        return &*it;
    if (presence == Presence::Required) {
        file_.errors.push_back(
            {file_.name, 0, section, key, {}, "The key is missing.", std::move(allowed)});
    }
    return nullptr;
}

void SettingsBinder::addEntryError(const IniEntry &entry, std::string problem, std::string allowed)
{
    file_.errors.push_back({file_.name, entry.line, entry.section, entry.key, entry.value,
                            std::move(problem), std::move(allowed)});
}

} // namespace Oleander
