#pragma once

#include "Base/clock.h"
#include "Base/error.h"
#include "Runtime/logevent.h"

#include <fmt/format.h>

#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace Oleander {

/** One key=value pair of a log line. Values never contain a caller's body or idempotency key. */
struct LogField
{
    template<typename T>
    LogField(std::string_view fieldKey, const T &fieldValue)
        : key(fieldKey), value(fmt::format("{}", fieldValue))
    {}

    std::string_view key;
    std::string value;
};

using LogFields = std::initializer_list<LogField>;

/** Rate limit per event: lines beyond the limit within one window are only counted. */
struct LogFloodLimit
{
    std::uint32_t lines = 500;
    Duration window = std::chrono::seconds(1);
};

/**
 * \class Log
 * \brief Writes one line per event: time, level, number, name, step, peer, then key=value pairs.
 *
 * Lines of one event beyond the flood limit are suppressed; when the window ends, a line
 * log.lines-left-out gives their number. Thread-safe.
 */
class Log
{
public:
    using Sink = std::function<void(std::string_view line)>;

    Log(const Clock &clock, Sink sink, LogFloodLimit limit = {});

    /** Lines below \a level are not written. */
    void setMinimumLevel(LogLevel level);
    void write(LogEvent event, Step step, std::string_view peer, std::span<const LogField> fields);
    /** Logs the number of suppressed lines for each window that has ended. */
    void flushSuppressedCounts();

private:
    struct Window
    {
        TimePoint start;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    void flushEndedWindows(TimePoint now);
    void writeLine(LogEvent event, Step step, std::string_view peer,
                   std::span<const LogField> fields);

    const Clock &clock_;
    Sink sink_;
    LogFloodLimit limit_;
    LogLevel minimumLevel_ = LogLevel::Info;
    std::mutex mutex_;
    std::map<LogEvent, Window> windows_;
};

/** The log of this process, which writes to standard output. */
Log &processLog();

/** Logs \a event to the log of this process; an empty \a peer is omitted. */
void logEvent(LogEvent event, Step step, std::string_view peer, LogFields fields = {});

/** Logs \a event with the step, peer and text of \a error. */
void logEvent(LogEvent event, const Error &error, LogFields fields = {});

} // namespace Oleander
