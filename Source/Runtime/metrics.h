#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Oleander {

/** One label of a metric; values come from settings and names, never from request bodies. */
struct MetricLabel
{
    std::string name;
    std::string value;

    bool operator==(const MetricLabel &) const = default;
    bool operator<(const MetricLabel &other) const
    {
        return std::tie(name, value) < std::tie(other.name, other.value);
    }
};

using MetricLabels = std::vector<MetricLabel>;

/** Monotonically increasing count. */
class Counter
{
public:
    void add(std::uint64_t count = 1) { value_ += count; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/** Value that can increase and decrease. */
class Gauge
{
public:
    void set(double value) { value_ = value; }
    double value() const { return value_; }

private:
    double value_ = 0;
};

/**
 * \class LatencyHistogram
 * \brief Distribution of durations from 10 microseconds to 100 seconds with an error of about 8%.
 */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;

    void record(Duration duration);
    std::uint64_t count() const;
    Duration sum() const;
    /** Returns the upper bound of the bin that contains \a quantile; 0 if nothing was recorded. */
    Duration quantile(double quantile) const;

    /** Number of durations up to an upper bound. */
    struct Bucket
    {
        double upperSeconds = 0;
        std::uint64_t cumulative = 0;
    };
    /** Returns cumulative buckets, three per decade, for the text exposition format. */
    std::vector<Bucket> buckets() const;

private:
    struct Private;
    std::unique_ptr<Private> private_;
};

/**
 * \class Metrics
 * \brief The metrics of one process, by name and labels; only for use on the loop's thread.
 *
 * Metrics are created on first use and never removed, so references to them stay valid.
 */
class Metrics
{
public:
    Counter &counter(const std::string &name, const std::string &help, MetricLabels labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, MetricLabels labels = {});
    LatencyHistogram &histogram(const std::string &name, const std::string &help,
                                MetricLabels labels = {});

    /** Returns all metrics in the text exposition format. */
    std::string exposition() const;
    /** Calls \a visit with name, labels and histogram of each histogram. */
    template<typename F>
    void visitHistograms(F &&visit) const
    {
        for (const auto &[name, family] : families_) {
            for (const auto &[labels, metric] : family.members) {
                if (const auto *histogram = std::get_if<LatencyHistogram>(&metric))
                    visit(name, labels, *histogram);
            }
        }
    }

private:
    using Metric = std::variant<Counter, Gauge, LatencyHistogram>;

    struct Family
    {
        std::string help;
        std::map<MetricLabels, Metric> members;
    };

    template<typename T>
    T &find(const std::string &name, const std::string &help, MetricLabels labels);

    std::map<std::string, Family> families_;
};

/** The metrics of this process. */
Metrics &processMetrics();

} // namespace Oleander
