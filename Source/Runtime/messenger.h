#pragma once

#include "Base/error.h"
#include "Protocol/messages.h"
#include "Runtime/eventloop.h"
#include "Runtime/link.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Oleander {

/** Sender of a message, from its frame. */
struct Sender
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t configurationVersion = 0;
};

/** Index of an alternative within Message. */
template<typename T, std::size_t Index = 0>
constexpr std::size_t messageIndex()
{
    if constexpr (std::is_same_v<std::variant_alternative_t<Index, Message>, T>)
        return Index;
    else
        return messageIndex<T, Index + 1>();
}

/**
 * \class Messenger
 * \brief Sends and receives the typed messages of one process.
 *
 * Owns the inbox and one outbox per peer, adds the name, the incarnation and the configuration
 * version of this process to every frame, and dispatches each message to the handlers of its type.
 * Frames meant for another incarnation are dropped and counted.
 */
class Messenger
{
public:
    Messenger(EventLoop &loop, std::string name, std::uint64_t incarnation);

    /** Starts listening; returns the actual address. */
    Result<std::string> listen(const std::string &address);

    /** Adds a peer, or changes its address. */
    void addPeer(const std::string &peer, const std::string &address);
    void removePeer(const std::string &peer);
    bool connected(const std::string &peer) const;
    std::vector<std::string> peers() const;

    /**
     * Sends a message on the connection to an added peer, or else on one that the peer has opened
     * to this process. After an error no byte has been sent; success does not guarantee delivery.
     */
    Result<void> send(const std::string &peer, Message message,
                      std::uint64_t targetIncarnation = 0);

    /** Calls \a handler for every message of type \a T. */
    template<typename T>
    void on(std::function<void(const Sender &, T &&)> handler)
    {
        handlers_[messageIndex<T>()].push_back(
            [handler = std::move(handler)](const Sender &sender, Message &message) {
                handler(sender, std::move(std::get<T>(message)));
            });
    }

    const std::string &name() const { return name_; }
    std::uint64_t incarnation() const { return incarnation_; }
    std::uint64_t configurationVersion() const { return configurationVersion_; }
    /** Sets the version that is sent in every subsequent frame. */
    void setConfigurationVersion(std::uint64_t version) { configurationVersion_ = version; }

    std::uint64_t wrongIncarnationFrames() const { return wrongIncarnationFrames_; }
    std::uint64_t malformedFrames() const { return inbox_.malformedFrames(); }
    std::uint64_t bytesReceived() const { return inbox_.bytesReceived(); }
    std::uint64_t bytesSent() const;

    /** Emitted for every accepted frame before its handlers run. */
    sigc::signal<void(const Sender &)> frameReceived;
    /** Emitted when the connection to an added peer is established (true) or lost (false). */
    sigc::signal<void(const std::string &peer, bool)> connectionChanged;

private:
    using Handler = std::function<void(const Sender &, Message &)>;

    void receive(Frame &&frame);

    EventLoop &loop_;
    std::string name_;
    std::uint64_t incarnation_;
    std::uint64_t configurationVersion_ = 0;
    std::uint64_t wrongIncarnationFrames_ = 0;
    std::uint64_t bytesSentToRemovedPeers_ = 0;
    Inbox inbox_;
    std::map<std::string, std::unique_ptr<Outbox>> peers_;
    std::array<std::vector<Handler>, std::variant_size_v<Message>> handlers_;
};

} // namespace Oleander
