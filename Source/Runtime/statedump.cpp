#include "Runtime/statedump.h"

#include "Runtime/eventloop.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

namespace Oleander {

namespace {

std::vector<const DumpSection *> &dumpSections()
{
    static std::vector<const DumpSection *> all;
    return all;
}

/** Name and rows of one section of a dump. */
struct SectionRows
{
    std::string name;
    std::vector<DumpRow> rows;
};

SectionRows processSection()
{
    std::uint64_t pages = 0;
    std::uint64_t resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    const auto pageSize = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return {"process", {{"self", {{"id", getpid()}, {"resident_bytes", resident * pageSize}}}}};
}

SectionRows histogramSection()
{
    SectionRows section{"histograms", {}};
    processMetrics().visitHistograms([&](const std::string &name, const MetricLabels &labels,
                                         const LatencyHistogram &histogram) {
        DumpRow row{name, {}};
        for (const auto &label : labels)
            row.fields.emplace_back(label.name, label.value);
        row.fields.emplace_back("count", histogram.count());
        row.fields.emplace_back("p50_us", histogram.quantile(0.5).count());
        row.fields.emplace_back("p99_us", histogram.quantile(0.99).count());
        row.fields.emplace_back("p99.9_us", histogram.quantile(0.999).count());
        section.rows.push_back(std::move(row));
    });
    return section;
}

std::vector<SectionRows> allSections()
{
    std::vector<SectionRows> sections = {processSection()};
    for (const auto *registered : dumpSections())
        sections.push_back({registered->section(), registered->rows()});
    sections.push_back(histogramSection());
    return sections;
}

} // namespace

DumpSection::DumpSection(std::string section, Source source)
    : section_(std::move(section)), source_(std::move(source))
{
    dumpSections().push_back(this);
}

DumpSection::~DumpSection()
{
    std::erase(dumpSections(), this);
}

std::string stateDumpText()
{
    std::string text;
    for (const auto &section : allSections()) {
        for (const auto &row : section.rows) {
            text += fmt::format("{} {}", section.name, row.name);
            for (const auto &field : row.fields)
                text += fmt::format(" {}={}", field.key, field.value);
            text += '\n';
        }
    }
    return text;
}

std::string stateDumpJson()
{
    auto document = nlohmann::json::object();
    for (const auto &section : allSections()) {
        // Several DumpSection objects may contribute rows to the same section.
        auto &rows = document[section.name];
        if (rows.is_null())
            rows = nlohmann::json::array();
        for (const auto &row : section.rows) {
            nlohmann::json object = {{"name", row.name}};
            for (const auto &field : row.fields)
                object[field.key] = field.value;
            rows.push_back(std::move(object));
        }
    }
    return document.dump(2, ' ', true, nlohmann::json::error_handler_t::replace);
}

void dumpStateOnSignal(EventLoop &loop)
{
    loop.onSignal(SIGUSR1, [] {
        const std::string text = stateDumpText();
        logEvent(LogEvent::StateDump, Step::None, {}, {{"lines", std::ranges::count(text, '\n')}});
        std::fwrite(text.data(), 1, text.size(), stderr);
    });
}

} // namespace Oleander
