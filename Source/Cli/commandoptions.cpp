#include "Cli/commandoptions.h"

#include "Base/nametable.h"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <cstdlib>
#include <random>

ABSL_FLAG(std::string, server, "",
          "operators' doors of the entries, ADDRESS:PORT, separated by commas; without it, the "
          "environment's OLEANDER_SERVER");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(
    std::string, author, "",
    "operator's name in the records; without it, the environment's OLEANDER_OPERATOR or USER");
ABSL_FLAG(std::string, key, "",
          "idempotency key; give the same one to repeat a command whose outcome is unknown");
ABSL_FLAG(std::uint64_t, revision, 0, "revision that the command is made for; 0 names none");
ABSL_FLAG(double, timeout, 15, "seconds after which the command gives up");
ABSL_FLAG(double, wait, 5, "seconds to wait for a configuration to be in force everywhere");
ABSL_FLAG(std::uint64_t, after, 0, "shows the events numbered above this one");
ABSL_FLAG(std::uint64_t, limit, 1000, "most lines to show");
ABSL_FLAG(bool, withdrawn, false, "shows withdrawn records too");
ABSL_FLAG(std::string, from, "", "file with names, KIND/NAME on each line; - is standard input");

namespace Oleander {

namespace {

constexpr NameTable<OutputFormat, 2> FormatNames = {
    {{OutputFormat::Table, "table"}, {OutputFormat::Json, "json"}}};
constexpr double MaxSeconds = 3600;
constexpr std::uint64_t MaxLines = 10'000;

std::string environment(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : "";
}

std::string firstNonEmpty(std::initializer_list<std::string> candidates)
{
    for (const auto &candidate : candidates) {
        if (!candidate.empty())
            return candidate;
    }
    return {};
}

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        if (end > begin)
            parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

std::string randomKey()
{
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t low = device();
    const std::uint64_t more = device();
    return fmt::format("{:08x}{:08x}{:08x}", high, low, more);
}

tl::unexpected<Error> refuse(std::string detail)
{
    return fail(Failure::InvalidInput, Step::CommandLine, {}, std::move(detail));
}

Result<Duration> seconds(std::string_view flag, double value)
{
    if (!(value >= 0 && value <= MaxSeconds)) {
        return refuse(fmt::format("Flag --{} is {}; allowed is a number of seconds from 0 to {}.",
                                  flag, value, MaxSeconds));
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

void setServer(const std::string &address)
{
    absl::SetFlag(&FLAGS_server, address);
}

Result<CommandOptions> readCommandOptions()
{
    CommandOptions options;
    options.servers =
        splitAtCommas(firstNonEmpty({absl::GetFlag(FLAGS_server), environment("OLEANDER_SERVER")}));
    if (options.servers.empty()) {
        return refuse("No entry was named; give --server=ADDRESS:PORT or set OLEANDER_SERVER.");
    }
    const auto format = valueIn(FormatNames, absl::GetFlag(FLAGS_output));
    if (!format) {
        return refuse(fmt::format("Flag --output is '{}'; allowed is {}.",
                                  absl::GetFlag(FLAGS_output), allowedNames(FormatNames)));
    }
    options.format = *format;
    options.author = firstNonEmpty(
        {absl::GetFlag(FLAGS_author), environment("OLEANDER_OPERATOR"), environment("USER")});
    options.key = firstNonEmpty({absl::GetFlag(FLAGS_key), randomKey()});
    if (const auto revision = absl::GetFlag(FLAGS_revision); revision > 0)
        options.revision = revision;
    const auto timeout = seconds("timeout", absl::GetFlag(FLAGS_timeout));
    if (!timeout)
        return tl::make_unexpected(timeout.error());
    options.timeout = *timeout;
    const auto wait = seconds("wait", absl::GetFlag(FLAGS_wait));
    if (!wait)
        return tl::make_unexpected(wait.error());
    options.wait = std::min<Duration>(*wait, std::chrono::minutes(1));
    options.after = absl::GetFlag(FLAGS_after);
    options.limit = absl::GetFlag(FLAGS_limit);
    if (options.limit < 1 || options.limit > MaxLines) {
        return refuse(fmt::format("Flag --limit is {}; allowed is a whole number from 1 to {}.",
                                  options.limit, MaxLines));
    }
    options.withWithdrawn = absl::GetFlag(FLAGS_withdrawn);
    options.from = absl::GetFlag(FLAGS_from);
    return options;
}

} // namespace Oleander
