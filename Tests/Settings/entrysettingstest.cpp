#include "Settings/entrysettings.h"

#include "Settings/agentsettings.h"
#include "Settings/fleetsettings.h"
#include "Settings/settingsvalue.h"

#include <catch2/catch.hpp>

using namespace Oleander;

namespace {

const std::string GoodEntry = "[entry]\n"
                              "name = entry-1\n"
                              "region = iceland\n"
                              "failure-domain = reykjavik\n"
                              "rack = r1\n"
                              "caller-door = 127.0.0.1:8080\n"
                              "operator-door = 127.0.0.1:8081\n"
                              "link = 127.0.0.1:7000\n"
                              "data-folder = /var/lib/oleander\n"
                              "[control-group]\n"
                              "entry-1 = 127.0.0.1:7000\n";

std::vector<std::string> texts(const std::vector<SettingsError> &errors)
{
    std::vector<std::string> all;
    all.reserve(errors.size());
    for (const auto &error : errors)
        all.push_back(error.text());
    return all;
}

std::vector<std::string> entryErrors(const std::string &content)
{
    return texts(parseEntrySettings(parseIni("entry.ini", content)).errors);
}

} // namespace

TEST_CASE("A valid entry file gives its settings")
{
    const auto checked = parseEntrySettings(parseIni(
        "entry.ini", GoodEntry + "[lease]\nworker = 4s ; longer than usual\nmargin = 250ms\n"));
    CHECK(texts(checked.errors).empty());
    CHECK(checked.settings.name == "entry-1");
    CHECK(checked.settings.location == Location{"iceland", "reykjavik", "r1"});
    CHECK(checked.settings.linkAdvertised == "127.0.0.1:7000");
    CHECK(checked.settings.controlGroup == std::vector<PeerAddress>{{"entry-1", "127.0.0.1:7000"}});
    CHECK(checked.settings.lease.worker == std::chrono::seconds(4));
    CHECK(checked.settings.lease.margin == std::chrono::milliseconds(250));
}

TEST_CASE("All errors of a file are listed at once with line, key, value and allowed values")
{
    const std::string content = GoodEntry
                                + "entry-2\n"
                                  "[lease]\n"
                                  "worker = 3\n"
                                  "configuration = 9s\n"
                                  "color = red\n"
                                  "[caller-limits]\n"
                                  "max-body = 1GiB\n"
                                  "max-body = 1MiB\n"
                                  "[lights\n"
                                  "[weather]\n"
                                  "wind = strong\n";
    const std::string expected =
        "entry.ini:12: \"entry-2\": The line is neither a section, a comment nor a key with a "
        "value. Allowed: key = value.\n"
        "entry.ini:14: [lease] worker = \"3\": The value is not a duration. Allowed: 200ms to "
        "5min, with the unit ms, s or min.\n"
        "entry.ini:15: [lease] configuration = \"9s\": The duration is out of range. Allowed: "
        "200ms to 4s, with the unit ms, s or min.\n"
        "entry.ini:16: [lease] color = \"red\": The key is unknown in this section. Allowed: "
        "worker, margin, configuration.\n"
        "entry.ini:18: [caller-limits] max-body = \"1GiB\": The size is out of range. Allowed: "
        "1KiB to 64MiB, with the unit B, KiB, MiB or GiB.\n"
        "entry.ini:19: [caller-limits] max-body = \"1MiB\": The key appears twice in its section. "
        "Allowed: each key once.\n"
        "entry.ini:20: \"[lights\": The section heading has no closing bracket. Allowed: "
        "[section].\n"
        "entry.ini:22: [weather] wind = \"strong\": The section is unknown. Allowed: "
        "caller-limits, control, control-group, entry, http, lease, operator-limits, request.\n";
    std::string all;
    for (const auto &text : entryErrors(content))
        all += text + '\n';
    CHECK(all == expected);
}

TEST_CASE("An empty file gives an error for every required key")
{
    const auto errors = entryErrors("");
    const auto names = [&](const std::string &part) {
        return std::count_if(errors.begin(), errors.end(), [&](const std::string &text) {
            return text.find(part) != std::string::npos;
        });
    };
    for (const auto *key :
         {"name", "region", "failure-domain", "rack", "caller-door", "operator-door", "link"}) {
        CHECK(names(std::string("entry.ini: [entry] ") + key + ": The key is missing.") == 1);
    }
    CHECK(names("The control group has 0 members.") == 1);
}

TEST_CASE("Settings that contradict each other are refused")
{
    const auto has = [](const std::string &content, const std::string &part) {
        const auto errors = entryErrors(content);
        return errors.size() == 1 && errors[0].find(part) != std::string::npos;
    };
    CHECK(has(GoodEntry + "entry-2 = 127.0.0.2:7000\n", "The control group has 2 members."));
    CHECK(has(GoodEntry + "[lease]\nworker = 300ms\nmargin = 300ms\n",
              "The margin is not shorter than the lease."));
    CHECK(has(GoodEntry + "[request]\ndefault-timeout = 2min\n",
              "The default timeout is longer than max-timeout."));
    CHECK(has(GoodEntry + "[control]\nheartbeat-interval = 300ms\n",
              "A follower would start elections under a live leader."));
    std::string same = GoodEntry;
    same.replace(same.find("8081"), 4, "8080");
    CHECK(has(same, "The address is the same as that of caller-door."));
    std::string other = GoodEntry;
    other.replace(other.rfind("entry-1"), 7, "entry-9");
    CHECK(has(other, "is not a member of the control group"));
    std::string elsewhere = GoodEntry;
    elsewhere.replace(elsewhere.rfind("7000"), 4, "7009");
    CHECK(has(elsewhere, "The address is not the one that this entry advertises"));
}

TEST_CASE("An overlong line and a missing file are errors")
{
    const auto errors = entryErrors(GoodEntry + "# " + std::string(300, 'x') + "\n");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].find("entry.ini:12:") == 0);
    CHECK(errors[0].find("The line is too long.") != std::string::npos);

    const auto missing = readIniFile("/nonexistent/entry.ini");
    REQUIRE(missing.errors.size() == 1);
    CHECK(missing.errors[0].text()
          == "/nonexistent/entry.ini: The file cannot be read: No such file or directory. "
             "Allowed: a readable file.");
}

TEST_CASE("An agent file is validated in the same way")
{
    const std::string good =
        "[agent]\nname = agent-1\nregion = iceland\nfailure-domain = keflavik\n"
        "rack = r2\nlink = 127.0.1.1:7000\nminion-door = 127.0.1.1:0\n"
        "[entries]\nentry-1 = 127.0.0.1:7000\n"
        "[worker]\naddress = 127.0.1.1:9000\nmilli-cores = 64000\n"
        "memory = 250GiB\n";
    const auto checked = parseAgentSettings(parseIni("agent.ini", good));
    CHECK(texts(checked.errors).empty());
    CHECK(checked.settings.worker.capacity == Resources{64'000, 256'000, 0});

    const auto bad =
        texts(parseAgentSettings(parseIni("agent.ini", "[agent]\nname = Agent 1\n"
                                                       "[worker]\naddress = localhost:80\n"))
                  .errors);
    CHECK(std::find(bad.begin(), bad.end(),
                    "agent.ini:2: [agent] name = \"Agent 1\": The value is not a name. Allowed: 1 "
                    "to 63 lower-case letters, digits, dots and hyphens.")
          != bad.end());
    CHECK(std::find(bad.begin(), bad.end(),
                    "agent.ini:4: [worker] address = \"localhost:80\": The value is not an "
                    "address. Allowed: ADDRESS:PORT with an IPv4 number and a port of 1 to 65535.")
          != bad.end());
    CHECK(std::find(bad.begin(), bad.end(),
                    "agent.ini: [entries]: The agent knows no entry. Allowed: at least one line: "
                    "NAME = ADDRESS:PORT.")
          != bad.end());
}

TEST_CASE("Values are parsed strictly")
{
    CHECK(parseDuration("250ms") == std::chrono::milliseconds(250));
    CHECK(parseDuration("2min") == std::chrono::minutes(2));
    CHECK_FALSE(parseDuration("-2s"));
    CHECK_FALSE(parseDuration("2 s"));
    CHECK_FALSE(parseDuration("99999999999999999999s"));
    CHECK(parseBytes("2MiB") == 2'097'152U);
    CHECK_FALSE(parseBytes("2MB"));
    CHECK(isAddress("127.0.0.1:0"));
    CHECK_FALSE(isAddress("[::1]:80"));
    CHECK_FALSE(isAddress("127.0.0.1:65536"));
    CHECK_FALSE(isAddress("host:80"));
}

TEST_CASE("A budget that one legal request does not fit in is refused with its line")
{
    // Otherwise a request within the limits would always be refused.
    const auto errors = entryErrors(GoodEntry + "[http]\nrequest-budget = 4MiB\n");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].starts_with("entry.ini:13: [http] request-budget = \"4MiB\": One request of "
                                "max-header and max-body of [operator-limits] does not fit"));
    CHECK(entryErrors(GoodEntry + "[http]\nrequest-budget = 6MiB\n").empty());
}

TEST_CASE("Default limits take a document of 4 MiB where operators and minions send one")
{
    // A machine of 128 MB must hold the budget of an agent beside the agent itself.
    const auto entry = parseEntrySettings(parseIni("entry.ini", GoodEntry)).settings;
    const auto control = parseControlHostSettings(parseIni("control.ini", "")).settings;
    const auto machine = parseMachineAgentSettings(parseIni("agent.ini", "")).settings;
    const auto agent = parseAgentSettings(parseIni("agent.ini", "")).settings;
    for (const auto &limits :
         {entry.operatorLimits, control.limits, machine.limits, agent.minionLimits})
        CHECK(limits.maxBodyBytes == 4U << 20U);
    CHECK(entry.http.requestBudget == 48U << 20U);
    CHECK(control.http.requestBudget == 48U << 20U);
    CHECK(machine.http.requestBudget == 32U << 20U);
    CHECK(agent.http.requestBudget == 32U << 20U);
}

TEST_CASE("A budget that is not set holds the bodies that are allowed")
{
    // Files of before the budget may allow bodies of up to 64 MiB.
    const auto settings =
        parseEntrySettings(parseIni("entry.ini", GoodEntry + "[caller-limits]\nmax-body = 64MiB\n"))
            .settings;
    CHECK(RequestBudget::doorShare(settings.http.requestBudget)
          >= settings.callerLimits.maxBodyBytes + settings.callerLimits.maxHeaderBytes);
}
