// Starts the project's processes and the stand-ins of this review, and calls them.
#pragma once

#include "net.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

namespace Review {

using Json = nlohmann::json;

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** The case could not run. */
struct CannotRun
{
    std::string why;
};

/** record.txt: what was sent, answered and run. */
class Record
{
public:
    explicit Record(const std::string &path) : file_(path), startedAt_(wallMs()) {}

    template<typename... Parts>
    void line(const Parts &...parts)
    {
        const std::lock_guard lock(mutex_);
        std::ostringstream text;
        text << (wallMs() - startedAt_) << " ms  ";
        (text << ... << parts);
        file_ << text.str() << "\n" << std::flush;
    }

    std::int64_t startedAt() const { return startedAt_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startedAt_;
};

struct MinionSpec
{
    std::int64_t cpu = 64'000;
    std::int64_t memMb = 256'000;
    std::string labels = "a,r1";
    std::int64_t lingerMs = 2'000;
};

struct RunEvent
{
    std::int64_t atMs = 0;
    std::string minion;
    std::string what;
    std::string task;
    std::uint64_t run = 0;
};

class Cluster
{
public:
    Cluster(std::string root, std::string minionProgram, Record &record, int fronts,
            std::vector<MinionSpec> minions)
        : root_(std::move(root))
        , minionProgram_(std::move(minionProgram))
        , record_(record)
        , fronts_(fronts)
        , minions_(std::move(minions))
    {
        char name[] = "/tmp/oleander-review-XXXXXX";
        if (mkdtemp(name) == nullptr)
            throw CannotRun{"no temporary folder"};
        folder_ = name;
        chooseAddresses();
    }

    ~Cluster()
    {
        for (auto &[key, pid] : processes_)
            ::kill(pid, SIGCONT);
        for (auto &[key, pid] : processes_)
            ::kill(pid, SIGKILL);
        for (auto &[key, pid] : processes_)
            waitpid(pid, nullptr, 0);
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(folder_);
        else
            std::cerr << "kept " << folder_ << "\n";
    }

    void startAll()
    {
        for (int i = 0; i < fronts_; ++i) {
            startControl(i);
            startEntry(i);
        }
        for (int i = 0; i < minionCount(); ++i) {
            startAgent(i);
            startMinion(i);
        }
    }

    int minionCount() const { return static_cast<int>(minions_.size()); }
    int fronts() const { return fronts_; }

    void startControl(int i, bool bootstrap = true)
    {
        std::ostringstream text;
        text << "[control-host]\nlink = " << frontIp(i) << ":7720\noperator-door = " << control(i)
             << "\ndata-folder = " << folder_ << "/data-" << i
             << "\nmay-form = " << (bootstrap ? "true" : "false")
             << "\ntolerated-losses = 1\nlongest-lease = 10000ms\nmetrics-door = " << frontIp(i)
             << ":9464\n"
             << group();
        start("control-" + std::to_string(i), {"target/oleander", "control"}, text.str());
    }

    void startEntry(int i)
    {
        std::ostringstream text;
        text << "[job-entry]\nname = frontend-" << i << "\ncaller-door = " << entry(i)
             << "\nhealth-door = " << frontIp(i) << ":8167\nmetrics-door = " << frontIp(i)
             << ":9465\n"
             << group();
        start("entry-" + std::to_string(i), {"target/oleander", "entry"}, text.str());
    }

    void startAgent(int i)
    {
        std::ostringstream text;
        text << "[machine-agent]\nname = side-" << i << "\nminion-door = " << sideIp(i)
             << ":8166\nminion = " << sideIp(i)
             << ":8200\ncancel-time = 3000ms\nmetrics-door = " << sideIp(i) << ":9466\n"
             << group();
        start("agent-" + std::to_string(i), {"target/oleander-agent", "machine"}, text.str());
    }

    /** Starts the next life of minion \a i, with an id of its own. */
    void startMinion(int i)
    {
        const MinionSpec &spec = minions_[static_cast<std::size_t>(i)];
        const std::string id = "i-" + std::to_string(i) + "-" + std::to_string(++lives_[i]);
        start("minion-" + std::to_string(i),
              {minionProgram_, "--listen", sideIp(i) + ":8200", "--agent", sideIp(i) + ":8166",
               "--name", id, "--service", service(), "--labels", spec.labels, "--cpu",
               std::to_string(spec.cpu), "--mem", std::to_string(spec.memMb), "--events",
               eventsFile(), "--linger", std::to_string(spec.lingerMs)},
              "");
        record_.line("started minion ", id, " on side-", i);
    }

    void signal(const std::string &key, int number, const std::string &why)
    {
        const std::lock_guard lock(mutex_);
        if (!processes_.contains(key))
            return;
        ::kill(processes_.at(key), number);
        if (number == SIGKILL) {
            waitpid(processes_.at(key), nullptr, 0);
            processes_.erase(key);
        }
        record_.line("signal ", number, " to ", key, ": ", why);
    }

    /** Records each of the project's processes that has ended by itself; returns their number. */
    int endedByThemselves()
    {
        const std::lock_guard lock(mutex_);
        int ended = 0;
        for (const auto &[key, pid] : processes_) {
            int status = 0;
            if (!key.starts_with("minion") && waitpid(pid, &status, WNOHANG) == pid) {
                record_.line(key, " has ended by itself, status ", status);
                ++ended;
            }
        }
        return ended;
    }

    std::string frontIp(int i) const { return subnet_ + std::to_string(11 + i); }
    std::string sideIp(int i) const { return subnet_ + std::to_string(101 + i); }
    std::string control(int i) const { return frontIp(i) + ":8166"; }
    std::string entry(int i) const { return frontIp(i) + ":8161"; }
    static std::string service() { return "orderdesk"; }
    static std::string host() { return "nony24.example"; }
    static std::string prefix() { return "/lohu930/"; }
    std::string eventsFile() const { return folder_ + "/events.txt"; }
    const std::string &folder() const { return folder_; }

    static Json route(const std::string &name, const std::string &pathPrefix, int maxAttempts)
    {
        return {{"name", name},
                {"host", host()},
                {"pathPrefix", pathPrefix},
                {"type", "non_idempotent"},
                {"timeoutMs", 3000},
                {"targetCompletionMs", 1000},
                {"priority", 0},
                {"service", service()},
                {"maxAttempts", maxAttempts},
                {"stretchFactor", 1.5}};
    }

    static Json configuration(int version, const Json &routes)
    {
        return {{"version", version},
                {"routes", routes},
                {"services", Json::array({{{"name", service()},
                                           {"healthPath", "/healthz"},
                                           {"maxConnections", 64},
                                           {"protocol", "h1"},
                                           {"tls", false},
                                           {"enforcesCapacity", false},
                                           {"standby", false}}})},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 262144},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}}};
    }

    /** Sends a configuration until it is acknowledged, as the operator does. */
    void configure(const Json &configuration, int limitMs = 15'000)
    {
        const std::string body = configuration.dump();
        const auto until = SteadyClock::now() + std::chrono::milliseconds(limitMs);
        for (int node = 0; SteadyClock::now() < until; ++node) {
            const int status =
                httpCall(control(node % fronts_), "PUT", "/oleanderusher/config", "", body, 1'000);
            if (status != 200 || node > 0)
                record_.line("operator: PUT of version ", configuration.at("version"), " at ",
                             control(node % fronts_), " -> ", status);
            if (status == 200) {
                record_.line("operator: version ", configuration.at("version"), " is acknowledged");
                return;
            }
            sleepMs(100);
        }
        throw CannotRun{"a configuration was not acknowledged"};
    }

    /** Hands a job in as a client does: again after no answer, 502 or 504, and, up to four times,
     * after 429 or 503. Returns the last status. */
    int submit(const std::string &id, const Json &job, int node,
               const std::string &pathPrefix = prefix())
    {
        int status = 0;
        int rejections = 0;
        for (int attempt = 0; attempt < 8; ++attempt) {
            status = httpCall(entry((node + attempt) % fronts_), "POST", pathPrefix + id, host(),
                              job.dump(), 3'000, nullptr, 3'000);
            record_.line("client: POST ", pathPrefix, id, " at ", entry((node + attempt) % fronts_),
                         " -> ", status);
            const bool isRejected = status == 429 || status == 503;
            if ((status != 0 && status != 502 && status != 504 && !isRejected)
                || (isRejected && ++rejections > 4))
                return status;
            sleepMs(isRejected ? 300 : 50);
        }
        return status;
    }

    /** Returns the state of a job, or "STATUS" of another answer than 200; asks other nodes after
     * no answer or a 5xx. */
    std::string state(const std::string &id, const std::string &pathPrefix = prefix())
    {
        int status = 0;
        for (int attempt = 0; attempt < 6; ++attempt) {
            std::string answer;
            status = httpCall(entry(attempt % fronts_), "GET", pathPrefix + id, host(), "", 3'000,
                              &answer, 3'000);
            if (status == 200)
                return Json::parse(answer).value("state", "?");
            if (status != 0 && status < 500)
                return std::to_string(status);
            sleepMs(100);
        }
        return std::to_string(status);
    }

    std::string waitForState(const std::string &id, const std::set<std::string> &states,
                             int limitMs, const std::string &pathPrefix = prefix())
    {
        const auto until = SteadyClock::now() + std::chrono::milliseconds(limitMs);
        std::string now = state(id, pathPrefix);
        while (!states.contains(now) && SteadyClock::now() < until) {
            sleepMs(50);
            now = state(id, pathPrefix);
        }
        return now;
    }

    std::vector<RunEvent> events() const
    {
        std::vector<RunEvent> all;
        std::ifstream file(eventsFile());
        RunEvent event;
        while (file >> event.atMs >> event.minion >> event.what >> event.task >> event.run)
            all.push_back(event);
        return all;
    }

    /** Waits for an event that \a fits; throws CannotRun without one. */
    RunEvent waitForEvent(const std::function<bool(const RunEvent &)> &fits, int limitMs)
    {
        const auto until = SteadyClock::now() + std::chrono::milliseconds(limitMs);
        while (SteadyClock::now() < until) {
            for (const RunEvent &event : events()) {
                if (fits(event))
                    return event;
            }
            sleepMs(2);
        }
        throw CannotRun{"an expected start or end did not come"};
    }

    /** Number of the front whose control process leads, by its log. */
    int leader() const
    {
        int best = -1;
        std::int64_t term = -1;
        for (int i = 0; i < fronts_; ++i) {
            std::ifstream file(folder_ + "/control-" + std::to_string(i) + ".log");
            std::string line;
            while (std::getline(file, line)) {
                if (line.find("name=control.leader-elected") == std::string::npos)
                    continue;
                const auto at = line.find(" term=");
                const std::int64_t found =
                    at == std::string::npos ? 0 : std::atoll(line.c_str() + at + 6);
                if (found > term) {
                    term = found;
                    best = i;
                }
            }
        }
        if (best < 0)
            throw CannotRun{"no leader"};
        return best;
    }

    /** Waits until every minion has run a task of a first job. */
    void waitUntilReady(const std::string &pathPrefix = prefix())
    {
        const auto until = SteadyClock::now() + std::chrono::seconds(15);
        while (SteadyClock::now() < until) {
            bool ready = true;
            for (int i = 0; i < fronts_; ++i) {
                ready =
                    ready
                    && httpCall(frontIp(i) + ":8167", "GET", "/oleanderusher/readyz", "", "", 500)
                           == 200;
            }
            if (ready) {
                // Three beats, so that all minions are known.
                sleepMs(2'000);
                if (submit(
                        "00000000000000aa",
                        {{"spec", "ms=100"},
                         {"steps",
                          Json::array(
                              {{{"count", 1}, {"cpu", 100}, {"memMb", 16}, {"estimateMs", 100}}})}},
                        0, pathPrefix)
                        == 200
                    && waitForState("00000000000000aa", {"completed"}, 5'000, pathPrefix)
                           == "completed")
                    return;
            }
            sleepMs(100);
        }
        throw CannotRun{"the system did not become ready"};
    }

private:
    std::string group() const
    {
        std::string text = "[group]\nseeds = ";
        for (int i = 0; i < fronts_; ++i)
            text += (i > 0 ? "," : "") + control(i);
        return text + "\nlink-port = 7720\n";
    }

    void chooseAddresses()
    {
        std::mt19937 random(std::random_device{}());
        for (int attempt = 0; attempt < 20; ++attempt) {
            subnet_ = "127." + std::to_string(20 + random() % 200) + "."
                      + std::to_string(1 + random() % 250) + ".";
            bool free = true;
            for (int i = 0; i < fronts_; ++i) {
                for (const int port : {7720, 8161, 8166, 8167, 9464, 9465})
                    free = free && isFree(frontIp(i) + ":" + std::to_string(port));
            }
            for (int i = 0; i < minionCount(); ++i) {
                for (const int port : {8166, 8200, 9466})
                    free = free && isFree(sideIp(i) + ":" + std::to_string(port));
            }
            if (free)
                return;
        }
        throw CannotRun{"no free addresses"};
    }

    static bool isFree(const std::string &address)
    {
        const int descriptor = listenAt(address);
        if (descriptor >= 0)
            close(descriptor);
        return descriptor >= 0;
    }

    void start(const std::string &key, const std::vector<std::string> &words,
               const std::string &settings)
    {
        const std::lock_guard lock(mutex_);
        const std::string path = folder_ + "/" + key + ".ini";
        if (!settings.empty())
            std::ofstream(path) << settings;
        const std::string variable = "OLEANDERUSHER_SETTINGS=" + path;
        const int log = open((folder_ + "/" + key + ".log").c_str(),
                             O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        std::vector<char *> arguments;
        for (const std::string &word : words)
            arguments.push_back(const_cast<char *>(word.c_str()));
        arguments.push_back(nullptr);
        char *environment[] = {const_cast<char *>(variable.c_str()),
                               const_cast<char *>("PATH=/usr/bin:/bin"), nullptr};
        const pid_t parent = getpid();
        const pid_t pid = fork();
        if (pid < 0)
            throw CannotRun{"fork failed"};
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent || chdir(root_.c_str()) != 0)
                _exit(127);
            dup2(log, 1);
            dup2(log, 2);
            execve(arguments[0], arguments.data(), environment);
            _exit(127);
        }
        close(log);
        processes_[key] = pid;
    }

    std::string root_;
    std::string minionProgram_;
    Record &record_;
    int fronts_;
    std::vector<MinionSpec> minions_;
    std::string folder_;
    std::string subnet_;
    std::mutex mutex_;
    std::map<std::string, pid_t> processes_;
    std::map<int, int> lives_;
};

/** Overlaps of two runs of one task, and starts after a run that ended done if that end was taken
 * note of, by the minions' own records. \a deathMs holds the times at which minions were killed. */
struct TaskFaults
{
    std::vector<std::string> overlaps;
    std::vector<std::string> afterDone;
};

inline TaskFaults findTaskFaults(const std::vector<RunEvent> &events,
                                 const std::map<std::string, std::int64_t> &deathMs = {})
{
    struct Life
    {
        std::string minion;
        std::uint64_t run = 0;
        std::int64_t from = 0;
        std::int64_t to = 0;
        std::string how;
        /** True if the end was taken note of. */
        bool isNoted = false;
    };
    std::map<std::string, std::vector<Life>> tasks;
    for (const RunEvent &event : events) {
        if (event.task == "-" || event.what == "received")
            continue;
        auto &lives = tasks[event.task];
        if (event.what == "start") {
            const auto death = deathMs.find(event.minion);
            lives.push_back({event.minion, event.run, event.atMs,
                             death == deathMs.end() ? INT64_MAX : death->second, ""});
            continue;
        }
        for (Life &life : lives) {
            if (life.minion != event.minion || life.run != event.run)
                continue;
            if (event.what == "noted") {
                life.isNoted = true;
            } else if (life.how.empty()) {
                life.to = event.atMs;
                life.how = event.what;
            }
        }
    }
    TaskFaults faults;
    for (const auto &[task, lives] : tasks) {
        for (std::size_t i = 0; i < lives.size(); ++i) {
            for (std::size_t j = i + 1; j < lives.size(); ++j) {
                const Life &a = lives[i];
                const Life &b = lives[j];
                const auto describe = [&] {
                    return task + ": run " + std::to_string(a.run) + " on " + a.minion + " from "
                           + std::to_string(a.from) + " to "
                           + (a.to == INT64_MAX ? "the end" : std::to_string(a.to)) + " ("
                           + (a.how.empty() ? "no end" : a.how) + "), run " + std::to_string(b.run)
                           + " on " + b.minion + " from " + std::to_string(b.from) + " to "
                           + (b.to == INT64_MAX ? "the end" : std::to_string(b.to)) + " ("
                           + (b.how.empty() ? "no end" : b.how) + ")";
                };
                if (a.from < b.to && b.from < a.to)
                    faults.overlaps.push_back(describe());
                const auto isDoneBefore = [](const Life &first, const Life &second) {
                    return first.how == "done" && first.isNoted && second.from > first.to;
                };
                if (isDoneBefore(a, b) || isDoneBefore(b, a))
                    faults.afterDone.push_back(describe());
            }
        }
    }
    return faults;
}

} // namespace Review
