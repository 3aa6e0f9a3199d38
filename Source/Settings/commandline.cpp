#include "Settings/commandline.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <fmt/format.h>

#include <algorithm>

namespace Oleander {

namespace {

tl::unexpected<Error> refuse(std::string detail)
{
    return fail(Failure::InvalidInput, Step::CommandLine, {}, std::move(detail));
}

/** Converts hyphens of the command line to the underscores of Abseil flag names. */
std::string flagName(std::string_view text)
{
    std::string name(text);
    std::ranges::replace(name, '-', '_');
    return name;
}

/** Debian's Abseil has its own string view type instead of std::string_view. */
absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

/** Converts the underscores of an Abseil flag name to the hyphens of the command line. */
std::string displayName(std::string_view name)
{
    std::string hyphenated(name);
    std::ranges::replace(hyphenated, '_', '-');
    return hyphenated;
}

Result<void> setFlag(absl::CommandLineFlag &flag, std::string_view value)
{
    std::string problem;
    if (flag.ParseFrom(toAbsl(value), &problem))
        return {};
    return refuse(fmt::format("The value \"{}\" of --{} is not allowed: {}", value,
                              displayName(std::string(flag.Name())), problem));
}

} // namespace

Result<CommandLine> readCommandLine(std::span<char *const> arguments)
{
    CommandLine line;
    bool isEndOfFlags = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string_view argument = arguments[i];
        if (isEndOfFlags || !argument.starts_with("--")) {
            line.positionals.emplace_back(argument);
            continue;
        }
        if (argument == "--") {
            isEndOfFlags = true;
            continue;
        }
        if (argument == "--help" || argument == "--version") {
            (argument == "--help" ? line.help : line.version) = true;
            continue;
        }
        const auto equals = argument.find('=');
        const std::string name = flagName(argument.substr(2, equals - 2));
        absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr)
            return refuse(fmt::format("The flag {} is unknown; --help lists those allowed.",
                                      argument.substr(0, equals)));
        std::string_view value = "true";
        if (equals != std::string_view::npos) {
            value = argument.substr(equals + 1);
        } else if (!flag->IsOfType<bool>()) {
            if (i + 1 == arguments.size())
                return refuse(fmt::format("The flag {} needs a value.", argument));
            value = arguments[++i];
        }
        if (auto set = setFlag(*flag, value); !set)
            return tl::make_unexpected(set.error());
        line.flags.push_back(name);
    }
    return line;
}

Result<void> checkFlags(const CommandLine &line, std::string_view command,
                        std::span<const std::string_view> allowed)
{
    for (const auto &flag : line.flags) {
        if (std::ranges::find(allowed, flag) != allowed.end())
            continue;
        return refuse(fmt::format("The subcommand {} takes no flag --{}; {} --help lists those "
                                  "allowed.",
                                  command, displayName(flag), command));
    }
    return {};
}

std::string flagHelp(std::span<const std::string_view> names)
{
    std::string text;
    for (const auto name : names) {
        const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(toAbsl(name));
        if (flag == nullptr)
            continue;
        text += fmt::format("  --{}  {}", displayName(name), flag->Help());
        const std::string value = flag->DefaultValue();
        text += value.empty() ? "\n" : fmt::format(" Default: {}.\n", value);
    }
    return text;
}

} // namespace Oleander
