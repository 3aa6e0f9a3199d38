#pragma once

#include "Base/clock.h"
#include "Settings/inifile.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Oleander {

/** Whether a settings file must hold a key. */
enum class Presence { Required, Optional };

/** A process of the system and the address of its link. */
struct PeerAddress
{
    std::string name;
    std::string address;

    bool operator==(const PeerAddress &) const = default;
};

/** Which ports an address may name. */
enum class PortRule { NonZero, AllowZero };

/** One key that a program knows, for the reference page. */
struct SettingsKey
{
    std::string section;
    /** The key; "NAME" for sections whose keys are names of processes. */
    std::string key;
    Presence presence = Presence::Optional;
    std::string allowed;
};

/** Result of checking a settings file: the settings count only when there is no mistake. */
template<typename Settings>
struct CheckedSettings
{
    Settings settings;
    std::vector<SettingsError> errors;
    /** Every key that the program knows. */
    std::vector<SettingsKey> keys;
};

/**
 * \class SettingsBinder
 * \brief Fills the fields of a settings aggregate from a parsed file and gathers every mistake.
 *
 * Each call names one key. A key that is absent leaves the field at its default. finish() adds a
 * mistake for each entry that no call named.
 */
class SettingsBinder
{
public:
    explicit SettingsBinder(IniFile file);

    /** Lower-case name of a process, a place or a rack. */
    void name(const char *section, const char *key, std::string &field, Presence presence);
    /** "ADDRESS:PORT" with an IP number. */
    void address(const char *section, const char *key, std::string &field, Presence presence,
                 PortRule rule);
    /** One address or more with commas between them. */
    void addresses(const char *section, const char *key, std::vector<std::string> &field,
                   Presence presence);
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
    void number(const char *section, const char *key, std::uint64_t &field, std::uint64_t min,
                std::uint64_t max, Presence presence = Presence::Optional);
    /** Every key of \a section is the name of a process and its value the address of its link. */
    void peers(const char *section, std::vector<PeerAddress> &field);

    /** Adds a mistake about \a key, at its line when the file has it. */
    void addError(const char *section, const char *key, std::string problem, std::string allowed);

    /** Reports unknown and repeated keys. Call it last. */
    void finish();

    const std::vector<SettingsError> &errors() const { return file_.errors; }
    const std::vector<SettingsKey> &keys() const { return keys_; }

private:
    const IniEntry *declareKey(const char *section, const char *key, Presence presence,
                               std::string allowed);
    void addEntryError(const IniEntry &entry, std::string problem, std::string allowed);

    IniFile file_;
    std::vector<SettingsKey> keys_;
    std::set<std::string> peerSections_;
};

} // namespace Oleander
