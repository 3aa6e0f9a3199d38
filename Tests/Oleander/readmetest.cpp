#include "Support/cluster.h"
#include "Support/httpcall.h"
#include "Support/waitfor.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <string>
#include <utility>
#include <vector>

using namespace Oleander::Testing;

namespace {

const std::string CodeIndent = "    ";

/** Lines of README.md below the heading \a title, up to the next heading of its level. */
std::vector<std::string> section(const std::string &title)
{
    std::ifstream file(std::string(OLEANDER_ROOT) + "/README.md");
    REQUIRE(file.good());
    std::vector<std::string> lines;
    bool inside = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("## "))
            inside = line == "## " + title;
        else if (inside)
            lines.push_back(line);
    }
    REQUIRE_FALSE(lines.empty());
    return lines;
}

/** Returns the code blocks of \a lines and the inline `oleander ...` commands, in order. */
std::vector<std::string> commandsOf(const std::vector<std::string> &lines)
{
    static const std::regex Inline("`(oleander [^`]+)`");
    std::vector<std::string> blocks;
    std::string block;
    for (const std::string &line : lines) {
        if (line.starts_with(CodeIndent)) {
            block += line.substr(CodeIndent.size()) + '\n';
            continue;
        }
        if (!block.empty())
            blocks.push_back(std::exchange(block, {}));
        for (std::sregex_iterator word(line.begin(), line.end(), Inline), end; word != end; ++word)
            blocks.push_back((*word)[1].str() + '\n');
    }
    if (!block.empty())
        blocks.push_back(block);
    return blocks;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at))
        text.replace(at, from.size(), to);
    return text;
}

} // namespace

TEST_CASE("The commands in the README's first evening section work as described")
{
    ClusterOptions options;
    options.minions = true;
    options.agentPrefix = "worker-";
    Cluster cluster(options);
    REQUIRE(cluster.start());
    REQUIRE(waitFor([&] {
        const auto answer = httpCall(cluster.callerDoor(0), {"GET", "/notices/hello", {}, {}});
        return answer && answer->status == 200;
    }));

    const std::string servers =
        cluster.operatorDoor(0) + ',' + cluster.operatorDoor(1) + ',' + cluster.operatorDoor(2);
    const std::string folder = std::filesystem::path(OLEANDER_PROGRAM).parent_path().string();
    const TemporaryFolder work;
    std::string outputs;
    unsigned run = 0;
    for (std::string block : commandsOf(section("A first evening"))) {
        // CI runs the quickstart separately; this cluster replaces it here.
        if (block.find("quickstart.sh") != std::string::npos
            || block.find("export ") != std::string::npos)
            continue;
        block = replaced(block, "127.0.1.1:8080", cluster.callerDoor(0));
        std::string script = "set -e\ncd ";
        script.append(work.path().string()).append("\nexport PATH=").append(folder);
        script.append(":$PATH OLEANDER_SERVER=").append(servers);
        script.append(" OLEANDER_OPERATOR=night-shift\n").append(block);
        const auto result = runCommand({"/bin/bash", "-c", script});
        INFO(block << result.output << result.errors);
        CHECK(result.exitCode == 0);
        outputs += result.output;
        ++run;
    }
    constexpr unsigned BlocksOfThePage = 6;
    CHECK(run >= BlocksOfThePage);
    for (const std::string part :
         {"leader", "batch/billing", "drain/worker-1", "night-shift", "HTTP/1.1 200"}) {
        INFO(outputs);
        CHECK(outputs.find(part) != std::string::npos);
    }
}
