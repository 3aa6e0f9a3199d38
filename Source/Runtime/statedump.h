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

/** One object in a dump, such as a replica, a minion or a lease. */
struct DumpRow
{
    std::string name;
    std::vector<DumpField> fields;
};

/**
 * \class DumpSection
 * \brief Registers a section of the state dump of this process while the object exists.
 *
 * Only for use on the loop's thread.
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

/** Returns the state of this process as lines of "SECTION NAME key=value ...", with histograms. */
std::string stateDumpText();

/** Returns the state of this process as JSON: {SECTION: [{"name": NAME, KEY: VALUE, ...}]}. */
std::string stateDumpJson();

/** Writes the state to standard error on each SIGUSR1. */
void dumpStateOnSignal(EventLoop &loop);

} // namespace Oleander
