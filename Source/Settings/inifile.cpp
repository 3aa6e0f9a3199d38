#include "Settings/inifile.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace Oleander {

namespace {

constexpr std::string_view Whitespace = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(Whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(Whitespace) - first + 1);
}

enum class LineKind { Empty, Section, Pair, InvalidSection, InvalidPair, Continuation };

LineKind lineKind(std::string_view raw)
{
    const std::string_view line = trimmed(raw);
    if (line.empty() || line.front() == ';' || line.front() == '#')
        return LineKind::Empty;
    if (raw.front() == ' ' || raw.front() == '\t')
        return LineKind::Continuation;
    if (line.front() == '[')
        return line.find(']') == std::string_view::npos ? LineKind::InvalidSection
                                                        : LineKind::Section;
    return line.find_first_of("=:") == std::string_view::npos ? LineKind::InvalidPair
                                                              : LineKind::Pair;
}

/** Passes lines to the parser one by one, so that each entry gets its line number. */
struct LineReader
{
    std::string_view rest;
    int line = 0;
    IniFile *file = nullptr;

    /** Returns the next line, or an empty line in place of one that the parser would misread. */
    std::string nextLine()
    {
        const auto end = rest.find('\n');
        const std::string_view raw = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        ++line;
        switch (lineKind(raw)) {
        case LineKind::InvalidSection:
            addError(raw, "The section heading has no closing bracket.", "[section]");
            return {};
        case LineKind::InvalidPair:
            addError(raw, "The line is neither a section, a comment nor a key with a value.",
                     "key = value");
            return {};
        case LineKind::Continuation:
            addError(raw, "The line starts with whitespace.", "lines that start in column 1");
            return {};
        default:
            return std::string(raw);
        }
    }

    void addError(std::string_view raw, std::string problem, std::string allowed)
    {
        file->errors.push_back({file->name,
                                line,
                                {},
                                {},
                                std::string(trimmed(raw)),
                                std::move(problem),
                                std::move(allowed)});
    }
};

char *readLine(char *buffer, int size, void *stream)
{
    auto &reader = *static_cast<LineReader *>(stream);
    if (reader.rest.empty())
        return nullptr;
    std::string line = reader.nextLine();
    const auto maxLength = static_cast<std::size_t>(size) - 2;
    if (line.size() > maxLength) {
        reader.addError(line.substr(0, 40), "The line is too long.",
                        fmt::format("at most {} characters", maxLength));
        line.clear();
    }
    line += '\n';
    std::memcpy(buffer, line.c_str(), line.size() + 1);
    return buffer;
}

int addEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &reader = *static_cast<LineReader *>(user);
    reader.file->entries.push_back({reader.line, section, key, value});
    return 1;
}

} // namespace

std::string SettingsError::text() const
{
    std::string text = line > 0 ? fmt::format("{}:{}:", file, line) : fmt::format("{}:", file);
    if (!section.empty())
        text += fmt::format(" [{}]", section);
    if (!key.empty())
        text += fmt::format(" {}", key);
    if (!value.empty())
        text += fmt::format("{}\"{}\"", key.empty() ? " " : " = ", value);
    if (!section.empty() || !key.empty() || !value.empty())
        text += ':';
    text += fmt::format(" {}", problem);
    if (!allowed.empty())
        text += fmt::format(" Allowed: {}.", allowed);
    return text;
}

IniFile parseIni(std::string name, std::string_view content)
{
    IniFile file;
    file.name = std::move(name);
    LineReader reader{content, 0, &file};
    ini_parse_stream(readLine, &reader, addEntry, &reader);
    return file;
}

IniFile readIniFile(const std::string &path)
{
    errno = 0;
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    if (stream)
        content << stream.rdbuf();
    if (!stream || stream.bad()) {
        IniFile file;
        file.name = path;
        const int cause = errno == 0 ? EIO : errno;
        file.errors.push_back(
            {path,
             0,
             {},
             {},
             {},
             fmt::format("The file cannot be read: {}.",
                         std::error_code(cause, std::generic_category()).message()),
             "a readable file"});
        return file;
    }
    return parseIni(path, content.str());
}

} // namespace Oleander
