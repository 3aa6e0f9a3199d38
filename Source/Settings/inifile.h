#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

/** One "key = value" line of a settings file. */
struct IniEntry
{
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
};

/** An error in a settings file. Line 0 refers to the entire file. */
struct SettingsError
{
    std::string file;
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
    /** Description of the error, a full sentence. */
    std::string problem;
    /** Description of the allowed values. */
    std::string allowed;

    /** Formats the error: "FILE:LINE: [SECTION] KEY = VALUE: PROBLEM Allowed: ALLOWED." */
    std::string text() const;
};

/** Entries of a settings file and errors of the lines that could not be parsed. */
struct IniFile
{
    std::string name;
    std::vector<IniEntry> entries;
    std::vector<SettingsError> errors;
};

/** Parses \a content; errors contain \a name as the file name. */
IniFile parseIni(std::string name, std::string_view content);

/** Reads and parses the file at \a path; an unreadable file gives one error with line 0. */
IniFile readIniFile(const std::string &path);

} // namespace Oleander
