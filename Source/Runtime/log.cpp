#include "Runtime/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <vector>

namespace Oleander {

namespace {

class SteadyClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return TimePoint(std::chrono::duration_cast<Duration>(
            std::chrono::steady_clock::now().time_since_epoch()));
    }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

bool isPlain(char c)
{
    return c > ' ' && c != '"' && c != '\\' && c != '=' && c != 0x7f;
}

/** Appends a value, quoted and escaped if needed to keep the key=value format and one line. */
void appendValue(std::string &line, std::string_view value)
{
    if (!value.empty() && std::ranges::all_of(value, isPlain)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < ' ' || byte == 0x7f) {
            line += fmt::format("\\x{:02x}", byte);
        } else {
            line += c;
        }
    }
    line += '"';
}

void appendField(std::string &line, std::string_view key, std::string_view value)
{
    line += ' ';
    line += key;
    line += '=';
    appendValue(line, value);
}

std::string timeText(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                       (time - seconds).count());
}

/** Lines that could not be written to standard output since the last count was logged. */
std::atomic<std::uint64_t> linesDropped = 0;

void writeToStandardOutput(std::string_view line)
{
    // A slow reader of standard output must not block the process, so its lines are dropped.
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0
        || ::write(STDOUT_FILENO, line.data(), line.size()) < 0)
        ++linesDropped;
}

} // namespace

Log::Log(const Clock &clock, Sink sink, LogFloodLimit limit)
    : clock_(clock), sink_(std::move(sink)), limit_(limit)
{}

void Log::setMinimumLevel(LogLevel level)
{
    const std::lock_guard lock(mutex_);
    minimumLevel_ = level;
}

void Log::write(LogEvent event, Step step, std::string_view peer, std::span<const LogField> fields)
{
    const std::lock_guard lock(mutex_);
    if (logEventRow(event).level < minimumLevel_)
        return;
    const TimePoint now = clock_.now();
    flushEndedWindows(now);
    auto &window = windows_.try_emplace(event, Window{now}).first->second;
    if (window.written >= limit_.lines) {
        ++window.suppressed;
        return;
    }
    ++window.written;
    writeLine(event, step, peer, fields);
}

void Log::flushSuppressedCounts()
{
    const std::lock_guard lock(mutex_);
    flushEndedWindows(clock_.now());
    if (const std::uint64_t dropped = linesDropped.exchange(0); dropped > 0) {
        const LogField fields[] = {{"of_name", "standard-output"}, {"count", dropped}};
        writeLine(LogEvent::LinesSuppressed, Step::None, {}, fields);
    }
}

void Log::flushEndedWindows(TimePoint now)
{
    for (auto it = windows_.begin(); it != windows_.end();) {
        if (now - it->second.start < limit_.window) {
            ++it;
            continue;
        }
        if (it->second.suppressed > 0) {
            const LogField fields[] = {{"of", static_cast<std::uint32_t>(it->first)},
                                       {"of_name", logEventRow(it->first).name},
                                       {"count", it->second.suppressed}};
            writeLine(LogEvent::LinesSuppressed, Step::None, {}, fields);
        }
        it = windows_.erase(it);
    }
}

void Log::writeLine(LogEvent event, Step step, std::string_view peer,
                    std::span<const LogField> fields)
{
    const auto &row = logEventRow(event);
    std::string line =
        fmt::format("time={} level={} event={} name={}", timeText(clock_.wallNow()),
                    logLevelName(row.level), static_cast<std::uint32_t>(event), row.name);
    if (step != Step::None)
        appendField(line, "step", stepName(step));
    if (!peer.empty())
        appendField(line, "peer", peer);
    for (const auto &field : fields)
        appendField(line, field.key, field.value);
    line += '\n';
    sink_(line);
}

Log &processLog()
{
    static const SteadyClock Clock;
    static Log log(Clock, writeToStandardOutput);
    return log;
}

void logEvent(LogEvent event, Step step, std::string_view peer, LogFields fields)
{
    processLog().write(event, step, peer, {fields.begin(), fields.size()});
}

void logEvent(LogEvent event, const Error &error, LogFields fields)
{
    std::vector<LogField> all(fields);
    all.emplace_back("failure", error.code.message());
    all.emplace_back("detail", error.detail);
    processLog().write(event, error.step, error.peer, all);
}

} // namespace Oleander
