#pragma once

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Oleander {

class EventLoop;

/** One value in a dump. */
struct DumpField
{
    template<typename T>
    DumpField(std::string fieldKey, const T &fieldValue)
        : key(std::move(fieldKey)), value(fmt::format("{}", fieldValue))
    {}

    std::string key;
    std::string value;
};

/** One thing in a dump, such as one replica, one minion or one lease. */
struct DumpRow
{
    std::string name;
    std::vector<DumpField> fields;
};

/**
 * \class DumpSection
 * \brief A task's part of the state dump of its process; it stands there while this object lives.
 *
 * Belongs to the loop's thread.
 */
class DumpSection
{
public:
    using Source = std::function<std::vector<DumpRow>()>;

    DumpSection(std::string section, Source source);
    ~DumpSection();
    DumpSection(const DumpSection &) = delete;
    DumpSection &operator=(const DumpSection &) = delete;

    const std::string &section() const { return section_; }
    std::vector<DumpRow> rows() const { return source_(); }

private:
    std::string section_;
    Source source_;
};

/** The state of this process for people: "SECTION NAME key=value ..." a line, with histograms. */
std::string stateDumpText();

/** The state of this process as JSON: {SECTION: [{"name": NAME, KEY: VALUE, ...}]}. */
std::string stateDumpJson();

/** Writes the state to standard error on each SIGUSR1. */
void dumpStateOnSignal(EventLoop &loop);

} // namespace Oleander
