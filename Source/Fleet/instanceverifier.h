#pragma once

#include "Fleet/fleetcodec.h"
#include "Runtime/eventloop.h"
#include "Runtime/httpclient.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <string>

namespace Oleander::Fleet {

/**
 * \class InstanceVerifier
 * \brief Tells which announced instance of the minion runs at the minion's address.
 *
 * An announcement may come from another writer, or arrive after its sender has ended. It is
 * confirmed only by the process that listens at the address.
 */
class InstanceVerifier
{
public:
    /** Makes a poll, of the instance with the given name, that changes nothing. */
    using MakePoll = std::function<HttpRequest(const std::string &name)>;

    InstanceVerifier(EventLoop &loop, const FleetCodec &codec, const std::string &address,
                     MakePoll makePoll);

    /** Polls the address until the instance of \a announcement answers, for a limited time after
     * its latest announcement. */
    void verify(const MinionAnnouncement &announcement);
    /** Drops the announcements of instances named \a name. */
    void forget(const std::string &name);

    /** Emitted with the latest announcement of the instance that has answered. */
    sigc::signal<void(const MinionAnnouncement &)> confirmed;
    /** Emitted when the process at the address has seen a higher fencing token. */
    sigc::signal<void()> fenceRefused;

private:
    struct Candidate
    {
        MinionAnnouncement announcement;
        TimePoint announcedAt{};
        bool isInFlight = false;
    };

    void poll(const MinionLife &life);
    void onAnswer(const MinionLife &life, const HttpCallResult &result);
    void pollAll();

    EventLoop &loop_;
    const FleetCodec &codec_;
    MakePoll makePoll_;
    HttpClient client_;
    Timer retryTimer_;
    std::map<MinionLife, Candidate> candidates_;
};

} // namespace Oleander::Fleet
