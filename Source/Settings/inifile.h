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

/** One mistake in a settings file. Line 0 stands for the file as a whole. */
struct SettingsError
{
    std::string file;
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
    /** Full sentence that says what is wrong. */
    std::string problem;
    /** What is allowed. */
    std::string allowed;

    /** Text for people: "FILE:LINE: [SECTION] KEY = VALUE: PROBLEM Allowed: ALLOWED." */
    std::string text() const;
};

/** Every entry of a settings file and every line that could not be read. */
struct IniFile
{
    std::string name;
    std::vector<IniEntry> entries;
    std::vector<SettingsError> errors;
};

/** Parses \a content; \a name is the file name for mistakes. */
IniFile parseIni(std::string name, std::string_view content);

/** Reads and parses the file at \a path; a file that cannot be read is a mistake of line 0. */
IniFile readIniFile(const std::string &path);

} // namespace Oleander
