#include "Runtime/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

namespace bh = boost::histogram;

constexpr double MinSeconds = 1e-5;
constexpr double MaxSeconds = 1e2;
constexpr unsigned Decades = 7;
constexpr unsigned BinsPerDecade = 30;
constexpr unsigned BinsPerBucket = 10;
constexpr double MicrosecondsPerSecond = 1e6;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Store = bh::dense_storage<std::uint64_t>;
using Bins = bh::histogram<std::tuple<Axis>, Store>;

std::string escape(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        if (c == '\\' || c == '"')
            result += '\\';
        if (c == '\n')
            result += "\\n";
        else
            result += c;
    }
    return result;
}

std::string labelText(const MetricLabels &labels, const std::string &extraLabel = {})
{
    std::string text;
    for (const auto &label : labels) {
        if (!text.empty())
            text += ',';
        text += fmt::format("{}=\"{}\"", label.name, escape(label.value));
    }
    if (!extraLabel.empty())
        text += (text.empty() ? "" : ",") + extraLabel;
    return text.empty() ? text : '{' + text + '}';
}

/** Writes one metric of a family in the text exposition format. */
struct ExpositionWriter
{
    const std::string &name;
    const MetricLabels &labels;
    std::string &text;

    void operator()(const Counter &counter) const
    {
        text += fmt::format("{}{} {}\n", name, labelText(labels), counter.value());
    }
    void operator()(const Gauge &gauge) const
    {
        text += fmt::format("{}{} {}\n", name, labelText(labels), gauge.value());
    }
    void operator()(const LatencyHistogram &histogram) const
    {
        for (const auto &bucket : histogram.buckets()) {
            text +=
                fmt::format("{}_bucket{} {}\n", name,
                            labelText(labels, fmt::format("le=\"{:.3g}\"", bucket.upperSeconds)),
                            bucket.cumulative);
        }
        text += fmt::format("{}_bucket{} {}\n", name, labelText(labels, "le=\"+Inf\""),
                            histogram.count());
        text += fmt::format("{}_sum{} {}\n", name, labelText(labels),
                            static_cast<double>(histogram.sum().count()) / MicrosecondsPerSecond);
        text += fmt::format("{}_count{} {}\n", name, labelText(labels), histogram.count());
    }
};

struct TypeName
{
    const char *operator()(const Counter &) const { return "counter"; }
    const char *operator()(const Gauge &) const { return "gauge"; }
    const char *operator()(const LatencyHistogram &) const { return "histogram"; }
};

} // namespace

struct LatencyHistogram::Private
{
    Bins bins{std::make_tuple(Axis(BinsPerDecade * Decades, MinSeconds, MaxSeconds))};
    std::uint64_t count = 0;
    Duration sum{};
};

LatencyHistogram::LatencyHistogram() : private_(std::make_unique<Private>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::record(Duration duration)
{
    // The axis is logarithmic, so a duration of zero is counted in the lowest bin.
    const double seconds = static_cast<double>(duration.count()) / MicrosecondsPerSecond;
    private_->bins(std::max(seconds, MinSeconds));
    private_->sum += duration;
    ++private_->count;
}

std::uint64_t LatencyHistogram::count() const
{
    return private_->count;
}

Duration LatencyHistogram::sum() const
{
    return private_->sum;
}

Duration LatencyHistogram::quantile(double quantile) const
{
    const auto wanted = static_cast<double>(private_->count) * quantile;
    const auto &axis = private_->bins.axis();
    std::uint64_t seen = 0;
    for (int bin = 0; bin < axis.size(); ++bin) {
        seen += private_->bins.at(bin);
        if (seen > 0 && static_cast<double>(seen) >= wanted)
            return Duration(
                static_cast<Duration::rep>(axis.bin(bin).upper() * MicrosecondsPerSecond));
    }
    if (private_->count == 0)
        return {};
    return Duration(static_cast<Duration::rep>(MaxSeconds * MicrosecondsPerSecond));
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const
{
    const auto &axis = private_->bins.axis();
    std::vector<Bucket> all;
    std::uint64_t seen = 0;
    for (int bin = 0; bin < axis.size(); ++bin) {
        seen += private_->bins.at(bin);
        if ((static_cast<unsigned>(bin) + 1) % BinsPerBucket == 0)
            all.push_back({axis.bin(bin).upper(), seen});
    }
    return all;
}

template<typename T>
T &Metrics::find(const std::string &name, const std::string &help, MetricLabels labels)
{
    std::sort(labels.begin(), labels.end());
    auto &family = families_[name];
    if (family.help.empty())
        family.help = help;
    auto [it, added] = family.members.try_emplace(std::move(labels), std::in_place_type<T>);
    return std::get<T>(it->second);
}

Counter &Metrics::counter(const std::string &name, const std::string &help, MetricLabels labels)
{
    return find<Counter>(name, help, std::move(labels));
}

Gauge &Metrics::gauge(const std::string &name, const std::string &help, MetricLabels labels)
{
    return find<Gauge>(name, help, std::move(labels));
}

LatencyHistogram &Metrics::histogram(const std::string &name, const std::string &help,
                                     MetricLabels labels)
{
    return find<LatencyHistogram>(name, help, std::move(labels));
}

std::string Metrics::exposition() const
{
    std::string text;
    for (const auto &[name, family] : families_) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, escape(family.help), name,
                            std::visit(TypeName{}, family.members.begin()->second));
        for (const auto &[labels, metric] : family.members)
            std::visit(ExpositionWriter{name, labels, text}, metric);
    }
    return text;
}

Metrics &processMetrics()
{
    static Metrics metrics;
    return metrics;
}

} // namespace Oleander
