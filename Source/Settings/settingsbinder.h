#pragma once

#include "Base/clock.h"
#include "Settings/inifile.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Oleander {

/** Whether a settings file must contain a key. */
enum class Presence { Required, Optional };

/** A process of the system and the address of its messenger. */
struct PeerAddress
{
    std::string name;
    std::string address;

    bool operator==(const PeerAddress &) const = default;
};

/** Whether an address may have port 0, for which the system picks a free port. */
enum class PortRule { NonZero, AllowZero };

/** A supported key, as listed on the reference page. */
struct SettingsKey
{
    std::string section;
    /** Key, or "NAME" in sections whose keys are process names. */
    std::string key;
    Presence presence = Presence::Optional;
    std::string allowed;
};

/** Result of validating a settings file; the settings are valid only if there are no errors. */
template<typename Settings>
struct CheckedSettings
{
    Settings settings;
    std::vector<SettingsError> errors;
    /** All supported keys. */
    std::vector<SettingsKey> keys;
};

/**
 * \class SettingsBinder
 * \brief Fills the fields of a settings aggregate from a parsed file and collects all errors.
 *
 * Each call declares one key. An absent key leaves the field at its default. finish() adds an error
 * for each entry whose key was not declared.
 */
class SettingsBinder
{
public:
    explicit SettingsBinder(IniFile file);

    /** Name of a process or location: lower-case letters, digits, dots and hyphens. */
    void name(const char *section, const char *key, std::string &field, Presence presence);
    /** "ADDRESS:PORT" with an IPv4 address. */
    void address(const char *section, const char *key, std::string &field, Presence presence,
                 PortRule rule);
    /** One or more comma-separated addresses. */
    void addresses(const char *section, const char *key, std::vector<std::string> &field,
                   Presence presence);
    /** Comma-separated names of failure domains; optional. */
    void failureDomains(const char *section, const char *key, std::vector<std::string> &field);
    /** true or false. */
    void boolean(const char *section, const char *key, bool &field);
    /** Absolute path of a folder. */
    void folder(const char *section, const char *key, std::string &field, Presence presence);
    /** Number with the unit ms, s or min. */
    void duration(const char *section, const char *key, Duration &field, Duration min,
                  Duration max);
    /** Number of bytes with the unit B, KiB, MiB or GiB. */
    void bytes(const char *section, const char *key, std::uint64_t &field, std::uint64_t min,
               std::uint64_t max, Presence presence = Presence::Optional);
    /** Integer without sign or unit. */
    void number(const char *section, const char *key, std::uint64_t &field, std::uint64_t min,
                std::uint64_t max, Presence presence = Presence::Optional);
    /** Decimal number without sign or unit. */
    void decimal(const char *section, const char *key, double &field, double min, double max);
    /** Section in which each key is a process name and its value the messenger address. */
    void peers(const char *section, std::vector<PeerAddress> &field);

    /** Adds an error for \a key, with its line number if the file contains it. */
    void addError(const char *section, const char *key, std::string problem, std::string allowed);

    /** Adds errors for unknown and duplicate keys. Must be called last. */
    void finish();

    const std::vector<SettingsError> &errors() const { return file_.errors; }
    const std::vector<SettingsKey> &keys() const { return keys_; }

private:
    /** Records a supported key and returns its entry; adds an error if a required one is absent. */
    const IniEntry *declareKey(const char *section, const char *key, Presence presence,
                               std::string allowed);
    void addEntryError(const IniEntry &entry, std::string problem, std::string allowed);

    IniFile file_;
    std::vector<SettingsKey> keys_;
    std::set<std::string> peerSections_;
};

} // namespace Oleander
