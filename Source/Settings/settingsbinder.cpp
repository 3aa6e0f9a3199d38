#include "Settings/settingsbinder.h"

#include "Settings/settingsvalue.h"

#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

constexpr const char *AllowedName = "1 to 63 lower-case letters, digits, dots and hyphens";
constexpr const char *AnyPeer = "NAME";

const char *allowedAddress(PortRule rule)
{
    return rule == PortRule::Fixed
               ? "ADDRESS:PORT with an IPv4 number and a port of 1 to 65535"
               : "ADDRESS:PORT with an IPv4 number and a port of 0 to 65535, 0 for any free one";
}

bool portAllowed(std::string_view address, PortRule rule)
{
    return rule == PortRule::OrPickedBySystem || portOf(address) != 0;
}

} // namespace

SettingsBinder::SettingsBinder(IniFile file) : file_(std::move(file)) {}

void SettingsBinder::name(const char *section, const char *key, std::string &field,
                          Presence presence)
{
    const auto *entry = find(section, key, presence, AllowedName);
    if (entry == nullptr)
        return;
    if (!isName(entry->value))
        refuse(*entry, "The value is not a name.", AllowedName);
    else
        field = entry->value;
}

void SettingsBinder::address(const char *section, const char *key, std::string &field,
                             Presence presence, PortRule rule)
{
    const auto *entry = find(section, key, presence, allowedAddress(rule));
    if (entry == nullptr)
        return;
    if (!isAddress(entry->value) || !portAllowed(entry->value, rule))
        refuse(*entry, "The value is not an address.", allowedAddress(rule));
    else
        field = entry->value;
}

void SettingsBinder::addresses(const char *section, const char *key,
                               std::vector<std::string> &field, Presence presence)
{
    constexpr const char *Allowed =
        "ADDRESS:PORT with an IPv4 number, several with commas between them";
    const auto *entry = find(section, key, presence, Allowed);
    if (entry == nullptr)
        return;
    std::vector<std::string> found;
    std::string_view rest = entry->value;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const std::string address(rest.substr(0, comma));
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        if (!isAddress(address))
            return refuse(*entry, "The value holds something that is no address.", Allowed);
        found.push_back(address);
    }
    field = std::move(found);
}

void SettingsBinder::flag(const char *section, const char *key, bool &field)
{
    constexpr const char *Allowed = "true or false";
    const auto *entry = find(section, key, Presence::Optional, Allowed);
    if (entry == nullptr)
        return;
    if (entry->value != "true" && entry->value != "false")
        return refuse(*entry, "The value is not a truth value.", Allowed);
    field = entry->value == "true";
}

void SettingsBinder::folder(const char *section, const char *key, std::string &field,
                            Presence presence)
{
    constexpr const char *Allowed = "the absolute path of a folder";
    const auto *entry = find(section, key, presence, Allowed);
    if (entry == nullptr)
        return;
    if (!entry->value.starts_with('/'))
        refuse(*entry, "The path is not absolute.", Allowed);
    else
        field = entry->value;
}

void SettingsBinder::duration(const char *section, const char *key, Duration &field, Duration least,
                              Duration most)
{
    const std::string allowed = fmt::format("{} to {}, with the unit ms, s or min",
                                            durationText(least), durationText(most));
    const auto *entry = find(section, key, Presence::Optional, allowed);
    if (entry == nullptr)
        return;
    const auto value = parseDuration(entry->value);
    if (!value)
        refuse(*entry, "The value is not a duration.", allowed);
    else if (*value < least || *value > most)
        refuse(*entry, "The duration is out of range.", allowed);
    else
        field = *value;
}

void SettingsBinder::bytes(const char *section, const char *key, std::uint64_t &field,
                           std::uint64_t least, std::uint64_t most, Presence presence)
{
    const std::string allowed = fmt::format("{} to {}, with the unit B, KiB, MiB or GiB",
                                            bytesText(least), bytesText(most));
    const auto *entry = find(section, key, presence, allowed);
    if (entry == nullptr)
        return;
    const auto value = parseBytes(entry->value);
    if (!value)
        refuse(*entry, "The value is not a size.", allowed);
    else if (*value < least || *value > most)
        refuse(*entry, "The size is out of range.", allowed);
    else
        field = *value;
}

void SettingsBinder::number(const char *section, const char *key, std::uint64_t &field,
                            std::uint64_t least, std::uint64_t most, Presence presence)
{
    const std::string allowed = fmt::format("a whole number of {} to {}", least, most);
    const auto *entry = find(section, key, presence, allowed);
    if (entry == nullptr)
        return;
    const auto value = parseNumber(entry->value);
    if (!value)
        refuse(*entry, "The value is not a whole number.", allowed);
    else if (*value < least || *value > most)
        refuse(*entry, "The number is out of range.", allowed);
    else
        field = *value;
}

void SettingsBinder::peers(const char *section, std::vector<PeerAddress> &field)
{
    const char *allowed = allowedAddress(PortRule::Fixed);
    keys_.push_back({section, AnyPeer, Presence::Optional, allowed});
    peerSections_.insert(section);
    for (const auto &entry : file_.entries) {
        if (entry.section != section)
            continue;
        if (!isName(entry.key))
            refuse(entry, "The key is not the name of a process.", AllowedName);
        else if (!isAddress(entry.value) || !portAllowed(entry.value, PortRule::Fixed))
            refuse(entry, "The value is not an address.", allowed);
        else
            field.push_back({entry.key, entry.value});
    }
}

void SettingsBinder::addMistake(const char *section, const char *key, std::string problem,
                                std::string allowed)
{
    const auto it = std::ranges::find_if(file_.entries, [&](const IniEntry &entry) {
        return entry.section == section && entry.key == key;
    });
    if (it != file_.entries.end()) {
        refuse(*it, std::move(problem), std::move(allowed));
        return;
    }
    file_.mistakes.push_back(
        {file_.name, 0, section, key, {}, std::move(problem), std::move(allowed)});
}

void SettingsBinder::finish()
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto &entry : file_.entries) {
        if (!seen.emplace(entry.section, entry.key).second) {
            refuse(entry, "The key stands twice in its section.", "each key once");
            continue;
        }
        if (peerSections_.contains(entry.section))
            continue;
        std::string inSection;
        bool known = false;
        for (const auto &key : keys_) {
            known = known || (key.section == entry.section && key.key == entry.key);
            if (key.section == entry.section)
                inSection += (inSection.empty() ? "" : ", ") + key.key;
        }
        if (known)
            continue;
        if (!inSection.empty()) {
            refuse(entry, "The key is unknown in this section.", inSection);
            continue;
        }
        std::set<std::string> sections;
        for (const auto &key : keys_)
            sections.insert(key.section);
        refuse(entry, "The section is unknown.", fmt::format("{}", fmt::join(sections, ", ")));
    }
    std::ranges::stable_sort(file_.mistakes, {}, &SettingsMistake::line);
}

const IniEntry *SettingsBinder::find(const char *section, const char *key, Presence presence,
                                     std::string allowed)
{
    keys_.push_back({section, key, presence, allowed});
    const auto it = std::ranges::find_if(file_.entries, [&](const IniEntry &entry) {
        return entry.section == section && entry.key == key;
    });
    if (it != file_.entries.end())
        return &*it;
    if (presence == Presence::Required) {
        file_.mistakes.push_back(
            {file_.name, 0, section, key, {}, "The key is missing.", std::move(allowed)});
    }
    return nullptr;
}

void SettingsBinder::refuse(const IniEntry &entry, std::string problem, std::string allowed)
{
    file_.mistakes.push_back({file_.name, entry.line, entry.section, entry.key, entry.value,
                              std::move(problem), std::move(allowed)});
}

} // namespace Oleander
