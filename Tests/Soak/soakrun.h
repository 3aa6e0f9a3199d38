#pragma once

#include "Soak/callers.h"
#include "Soak/checks.h"
#include "Soak/operators.h"
#include "Soak/plan.h"
#include "Support/cluster.h"

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <string>

namespace Oleander::Testing {

/** What a run of a plan found and how long it took. */
struct SoakResult
{
    Violations violations;
    std::size_t calls = 0;
    std::size_t answered = 0;
    /** Accepted jobs and configuration changes. */
    std::size_t changes = 0;
    double seconds = 0;
    /** From the end of the last fault until every entry serves, and until every job is done. */
    double serviceSeconds = 0;
    double jobsSeconds = 0;

    /** One line: verdict, counts and times. */
    std::string text(std::uint64_t seed) const;
};

/**
 * \class SoakRun
 * \brief Plays a plan on a cluster of real processes and checks what its users see.
 */
class SoakRun
{
public:
    /** \a logs gets the output of every process and the files that the checks read. */
    SoakRun(SoakPlan plan, std::filesystem::path logs);

    /** Plays the plan once. */
    SoakResult run();

private:
    void awaitReady();
    void playFaults();
    /** Waits until the callers have completed as many calls as the plan has up to \a position. */
    void awaitPosition(std::uint64_t position);
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void killProcess(const Fault &fault);
    void startProcess(const std::string &name);
    void awaitStopped(const std::string &name);
    /** Brings all links into the state that the faults in force ask for. */
    void applyLinkFaults();
    void awaitService();
    void check();
    void report(const Violations &violations);
    /** Reports a process that has ended although no fault was meant to end it. */
    void reportIfEnded(const std::string &name);
    std::vector<std::string> processNames() const;

    ChildProcess &process(const std::string &name);
    void keepOutput(const std::string &name);
    void openOutage(const std::string &name, bool graceful);
    void closeOutage(const std::string &name);
    bool servesAt(std::size_t entry) const;
    std::filesystem::path logFile(const std::string &name) const { return logs_ / name; }
    static ClusterOptions clusterOptions(const SoakPlan &plan, const std::filesystem::path &logs);

    SoakPlan plan_;
    std::filesystem::path logs_;
    Cluster cluster_;
    /** Count of calls of the plan that has been reached. */
    std::atomic<std::uint64_t> position_ = 0;
    std::unique_ptr<Callers> callers_;
    std::unique_ptr<Operators> operators_;
    std::map<std::string, const Fault *> linkFaults_;
    std::vector<Outage> outages_;
    SoakResult result_;
};

} // namespace Oleander::Testing
