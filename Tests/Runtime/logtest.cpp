#include "Runtime/log.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Oleander;

namespace {

struct Captured
{
    ManualClock clock;
    std::vector<std::string> lines;
    Log log{clock, [this](std::string_view line) { lines.emplace_back(line); },
            LogFloodLimit{2, std::chrono::seconds(1)}};

    void write(LogEvent event, LogFields fields = {})
    {
        log.write(event, Step::Send, "agent-1", {fields.begin(), fields.size()});
    }
};

} // namespace

TEST_CASE("An event is one line with number, level, step, peer and quoted values")
{
    Captured captured;
    captured.write(LogEvent::PeerLost, {{"cause", "line one\nline \"two\""}, {"count", 3}});
    REQUIRE(captured.lines.size() == 1);
    CHECK(captured.lines[0]
          == "time=1970-01-01T00:00:01.000Z level=warning event=6001 name=peer.lost step=send "
             "peer=agent-1 cause=\"line one\\x0aline \\\"two\\\"\" count=3\n");
}

TEST_CASE(
    "Lines of one event over the limit are suppressed and counted, and other events are logged")
{
    Captured captured;
    for (int i = 0; i < 10; ++i)
        captured.write(LogEvent::PeerLost);
    captured.write(LogEvent::PeerConnected);
    CHECK(captured.lines.size() == 3);
    captured.clock.advance(std::chrono::seconds(1));
    captured.log.flushSuppressedCounts();
    REQUIRE(captured.lines.size() == 4);
    CHECK(captured.lines[3].find("name=log.lines-left-out of=6001 of_name=peer.lost count=8")
          != std::string::npos);
    captured.log.flushSuppressedCounts();
    captured.write(LogEvent::PeerLost);
    CHECK(captured.lines.size() == 5);
}

TEST_CASE("Lines below the minimum level are not written")
{
    Captured captured;
    captured.log.setMinimumLevel(LogLevel::Warning);
    captured.write(LogEvent::PeerConnected);
    captured.write(LogEvent::PeerLost);
    CHECK(captured.lines.size() == 1);
}

TEST_CASE("Numbers and names of events are unique and in order")
{
    std::set<std::string_view> names;
    std::uint32_t last = 0;
    for (const auto &row : logEventTable()) {
        CHECK(static_cast<std::uint32_t>(row.event) > last);
        CHECK(names.insert(row.name).second);
        last = static_cast<std::uint32_t>(row.event);
    }
}
