#pragma once

#include "Soak/checks.h"
#include "Soak/plan.h"
#include "Support/cluster.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>

namespace Oleander::Testing {

/**
 * \class Operators
 * \brief Two operators: one submits the jobs of the plan, the other changes the configuration.
 *
 * Both read at every entry what was accepted before.
 */
class Operators
{
public:
    /** \a position, the count of calls of the plan that has been reached, paces the jobs. */
    Operators(const SoakPlan &plan, const Cluster &cluster,
              std::function<std::uint64_t()> position);
    ~Operators() { stop(); }
    Operators(const Operators &) = delete;
    Operators &operator=(const Operators &) = delete;

    void stop();
    /** The rest is called after stop(). Number of accepted jobs and changes. */
    std::size_t accepted() const { return accepted_; }
    /** State of each accepted job; empty if no entry answered. */
    std::map<std::string, std::string> jobStates() const;
    /** Reads every record at each entry; returns false unless each entry answered each read. */
    bool readEverything();
    Violations violations() const;

private:
    struct Read
    {
        int status = 0;
        std::uint64_t revision = 0;
        std::string body;
        std::string state;
    };

    void submitJobs();
    void changeConfiguration();
    Read read(std::size_t entry, RecordCheck &check) const;
    /** Revision of the accepted change; 0 if the command failed. */
    std::uint64_t change(const std::vector<std::string> &words, const std::string &body);

    const SoakPlan &plan_;
    const Cluster &cluster_;
    std::function<std::uint64_t()> position_;
    std::string servers_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> accepted_ = 0;
    std::map<std::string, RecordCheck> jobs_;
    RecordCheck configuration_{"configuration/soak"};
    std::thread jobThread_;
    std::thread configurationThread_;
};

} // namespace Oleander::Testing
