#include "Runtime/metrics.h"

#include "Runtime/diagnosticsserver.h"
#include "Runtime/statedump.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace Oleander;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

struct FakeExchange final : HttpExchange
{
    HttpRequest asked;
    std::optional<HttpResponse> answer;

    const HttpRequest &request() const override { return asked; }
    void respond(HttpResponse response) override { answer = std::move(response); }
    bool isClosed() const override { return false; }
    void onClosed(std::function<void()> /*handler*/) override {}
};

} // namespace

TEST_CASE("Quantiles are accurate to one bin, and durations outside the range are counted")
{
    LatencyHistogram histogram;
    CHECK(histogram.quantile(0.5) == Duration::zero());
    for (int i = 1; i <= 1000; ++i)
        histogram.record(std::chrono::milliseconds(i));
    const auto within = [](Duration value, double expectedMs) {
        const double ms = static_cast<double>(value.count()) / 1000;
        return ms >= expectedMs * 0.999 && ms <= expectedMs * 1.09;
    };
    CHECK(within(histogram.quantile(0.5), 500));
    CHECK(within(histogram.quantile(0.99), 990));
    CHECK(within(histogram.quantile(0.999), 999));
    histogram.record(Duration::zero());
    histogram.record(std::chrono::hours(1));
    CHECK(histogram.count() == 1002);
    CHECK(histogram.quantile(1.0) == std::chrono::seconds(100));
    CHECK(histogram.buckets().size() == 21);
    CHECK(histogram.buckets().back().cumulative == 1001);
}

TEST_CASE("Metrics are written in the text exposition format")
{
    Metrics metrics;
    metrics.counter("oleander_requests_total", "Requests.", {{"outcome", "ran"}}).add(2);
    metrics.counter("oleander_requests_total", "Requests.", {{"outcome", "a\"b\\c"}}).add();
    metrics.gauge("oleander_minions", "Minions.").set(3);
    metrics.histogram("oleander_latency_seconds", "Latency.").record(std::chrono::milliseconds(20));
    const std::string text = metrics.exposition();
    CHECK(contains(text, "# HELP oleander_requests_total Requests.\n"
                         "# TYPE oleander_requests_total counter\n"
                         "oleander_requests_total{outcome=\"a\\\"b\\\\c\"} 1\n"
                         "oleander_requests_total{outcome=\"ran\"} 2\n"));
    CHECK(contains(text, "# TYPE oleander_minions gauge\noleander_minions 3\n"));
    CHECK(contains(text, "oleander_latency_seconds_bucket{le=\"0.01\"} 0\n"));
    CHECK(contains(text, "oleander_latency_seconds_bucket{le=\"0.0215\"} 1\n"));
    CHECK(contains(text, "oleander_latency_seconds_bucket{le=\"+Inf\"} 1\n"));
    CHECK(contains(text, "oleander_latency_seconds_sum 0.02\n"));
    CHECK(contains(text, "oleander_latency_seconds_count 1\n"));
}

TEST_CASE("A section is part of the state dump while its object exists")
{
    {
        const DumpSection part("leases", [] {
            return std::vector<DumpRow>{{"worker-1", {{"left_ms", 2500}, {"granted", true}}}};
        });
        CHECK(contains(stateDumpText(), "leases worker-1 left_ms=2500 granted=true\n"));
        CHECK(contains(stateDumpJson(), "\"left_ms\": \"2500\""));
    }
    CHECK_FALSE(contains(stateDumpText(), "leases"));
    CHECK(contains(stateDumpText(), "process self id="));
}

TEST_CASE("Only GET requests for the state dump and the metrics are answered as diagnostics")
{
    const auto ask = [](std::string method, std::string path, std::string query) {
        FakeExchange exchange;
        exchange.asked.method = std::move(method);
        exchange.asked.path = std::move(path);
        exchange.asked.query = std::move(query);
        const bool answered = answerDiagnosticsRequest(exchange);
        CHECK(answered == exchange.answer.has_value());
        return exchange.answer;
    };
    CHECK(contains(ask("GET", "/v1/dump", "")->body, "process self"));
    CHECK(contains(ask("GET", "/v1/dump", "output=json")->body, "\"process\""));
    CHECK(ask("GET", "/metrics", ""));
    CHECK_FALSE(ask("POST", "/v1/dump", ""));
    CHECK_FALSE(ask("GET", "/v1/records", ""));
}
