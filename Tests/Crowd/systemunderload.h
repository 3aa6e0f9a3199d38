#pragma once

#include "crowd.h"
#include "Support/cluster.h"
#include "Support/fleetcluster.h"

#include <memory>
#include <string>
#include <vector>

namespace Oleander::Testing {

constexpr std::size_t KiB = 1U << 10U;
constexpr std::size_t MiB = 1U << 20U;

/** A process; Leader is the leading control host. */
enum class Host { Entry, Control, Leader, Agent, Serve };

/** An HTTP server of a process, and a path that is requested there. */
struct Door
{
    Host host = Host::Entry;
    /** Method of requests with a body. */
    std::string method;
    std::string path;
    /** Address of the server; serveAddress for Host::Serve, and fleetAddress for the others. */
    const std::string &(FleetCluster::*fleetAddress)(std::size_t) const = nullptr;
    std::size_t maxBodyBytes = 2 * MiB;
    const std::string &(Cluster::*serveAddress)(std::size_t) const = nullptr;

    /** First lines of a request. */
    std::string request(const std::string &verb) const
    {
        return verb + ' ' + path + " HTTP/1.1\r\nHost: press.example\r\n";
    }
};

/**
 * \class SystemUnderLoad
 * \brief The processes that a crowd attacks. Each one but the leader is started anew before.
 */
class SystemUnderLoad
{
public:
    /**
     * Lets \a clients clients send \a script to \a door. Checks that the process lives, that its
     * memory and descriptors stay within the bounds, and that an ordinary request is answered while
     * the crowd's connections are left open.
     */
    void attack(const Door &door, const ClientScript &script, std::size_t clients);
    /** Sets a configuration of at least \a bytes bytes; returns false if that is not accepted. */
    bool configure(std::size_t bytes);

private:
    void start(Host host);
    ChildProcess &process(Host host);
    void restart(Host host);
    bool answersOrdinaryRequest(Host host);

    std::unique_ptr<FleetCluster> fleet_;
    std::unique_ptr<Cluster> serve_;
    std::size_t leader_ = 0;
    int version_ = 0;
    int jobs_ = 0;
};

} // namespace Oleander::Testing
