#include "Soak/operators.h"

#include "Support/httpcall.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace Oleander::Testing {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds Pause(50);
/** A read of a frozen or cut-off entry is given up; the next one asks another entry. */
constexpr std::chrono::seconds ReadLimit(3);

json jobBody(std::uint64_t runMs)
{
    return {{"schema", 2},
            {"team", "soak"},
            {"resources", {{"milli-cores", 500}, {"memory-mib", 256}}},
            {"payload", fmt::format("ms={}", runMs)}};
}

/** The part of a record that its operator chose, in a form that can be compared. */
std::string comparableBody(const json &body)
{
    return body.contains("payload") ? body["payload"].dump() : body["values"].dump();
}

} // namespace

Operators::Operators(const SoakPlan &plan, const Cluster &cluster,
                     std::function<std::uint64_t()> position)
    : plan_(plan), cluster_(cluster), position_(std::move(position))
{
    for (std::size_t entry = 0; entry < plan.entries; ++entry)
        servers_ += (entry == 0 ? "--server=" : ",") + cluster.operatorDoor(entry);
    jobThread_ = std::thread([this] { submitJobs(); });
    configurationThread_ = std::thread([this] { changeConfiguration(); });
}

void Operators::stop()
{
    stopping_ = true;
    if (jobThread_.joinable())
        jobThread_.join();
    if (configurationThread_.joinable())
        configurationThread_.join();
}

std::uint64_t Operators::change(const std::vector<std::string> &words, const std::string &body)
{
    auto command = words;
    command.insert(command.end(), {"-", "--author=soak", "--output=json", "--wait=0", servers_});
    const auto result = cluster_.operate(0, command, body);
    if (result.exitCode != 0)
        return 0;
    ++accepted_;
    return json::parse(result.output)["revision"].get<std::uint64_t>();
}

Operators::Read Operators::read(std::size_t entry, RecordCheck &check) const
{
    const auto floor = check.floor();
    Read read;
    const auto reply = httpCall(cluster_.operatorDoor(entry),
                                {"GET", "/v1/records/" + check.name(), {}, {}}, ReadLimit);
    if (!reply)
        return read;
    read.status = reply->status;
    if (reply->status == 200) {
        const auto record = json::parse(reply->body);
        read.revision = record["revision"];
        read.body = comparableBody(record["body"]);
        read.state = record["outcome"]["state"];
    }
    if (reply->status == 200 || reply->status == 404)
        check.read(fmt::format("entry-{}", entry + 1), floor, read.revision, read.body);
    return read;
}

void Operators::submitJobs()
{
    SoakRandom random(plan_.seed * 1000 + 900);
    for (std::size_t submitted = 0; !stopping_;) {
        const auto due = (submitted + 1) * plan_.lastCall() / (plan_.jobs + 1);
        if (submitted < plan_.jobs && position_() >= due) {
            const auto name = fmt::format("batch/soak-{}", ++submitted);
            const auto body = jobBody(random.between(100, 3000));
            const auto revision = change({"submit", name}, body.dump());
            if (revision > 0)
                jobs_.emplace(name, name).first->second.accept(revision, comparableBody(body));
        } else if (!jobs_.empty()) {
            auto job = jobs_.begin();
            std::advance(job, random.between(0, jobs_.size() - 1));
            read(random.between(0, plan_.entries - 1), job->second);
        }
        std::this_thread::sleep_for(Pause);
    }
}

void Operators::changeConfiguration()
{
    SoakRandom random(plan_.seed * 1000 + 901);
    std::uint64_t revision = 0;
    for (std::uint64_t number = 1; !stopping_; ++number) {
        const json body{{"schema", 2}, {"values", {{"soak", std::to_string(number)}}}};
        std::vector<std::string> words{revision == 0 ? "submit" : "amend", configuration_.name()};
        if (revision > 0)
            words.push_back(fmt::format("--revision={}", revision));
        const auto accepted = change(words, body.dump());
        if (accepted > 0) {
            revision = accepted;
            configuration_.accept(revision, comparableBody(body));
        }
        std::this_thread::sleep_for(Pause);
        // A change with an unknown outcome may have taken effect.
        const auto seen = read(random.between(0, plan_.entries - 1), configuration_);
        revision = std::max(revision, seen.revision);
    }
}

std::map<std::string, std::string> Operators::jobStates() const
{
    std::map<std::string, std::string> states;
    for (const auto &[name, check] : jobs_) {
        auto &state = states[name];
        for (std::size_t entry = 0; entry < plan_.entries && state.empty(); ++entry) {
            RecordCheck unused(name);
            state = read(entry, unused).state;
        }
    }
    return states;
}

bool Operators::readEverything()
{
    bool isComplete = true;
    for (std::size_t entry = 0; entry < plan_.entries; ++entry) {
        const auto readOne = [&](RecordCheck &check) {
            const int status = read(entry, check).status;
            isComplete = isComplete && (status == 200 || status == 404);
        };
        for (auto &[name, check] : jobs_)
            readOne(check);
        if (configuration_.floor() > 0)
            readOne(configuration_);
    }
    return isComplete;
}

Violations Operators::violations() const
{
    Violations all = configuration_.violations();
    for (const auto &[name, check] : jobs_)
        all.insert(all.end(), check.violations().begin(), check.violations().end());
    return all;
}

} // namespace Oleander::Testing
