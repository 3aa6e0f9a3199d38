#include "Runtime/link.h"

#include "Runtime/address.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <cstring>

namespace Oleander {

namespace {

constexpr std::size_t MaxFrameBytes = 8U << 20U;
// Frames of one turn of the loop share one nng message up to this size: each message wakes several
// of nng's threads, which costs more than the frame itself.
constexpr std::size_t BatchBytes = 256U << 10U;
// A length in network byte order stands before each frame of a message.
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t MaxMessageBytes = BatchBytes + MaxFrameBytes + LengthBytes;
// Deep enough for a burst of one batch to one peer; a full queue is told to the sender.
constexpr int SendQueueMessages = 4096;
constexpr Duration RetryDelay = std::chrono::milliseconds(1);
constexpr int MinReconnectMs = 20;
constexpr int MaxReconnectMs = 500;
// Other events of the loop get their turn after so many frames.
constexpr int MaxFramesPerTurn = 256;

std::size_t frameLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data(), LengthBytes);
    return ntohl(length);
}

void appendFrame(std::string &batch, const std::string &frame)
{
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
    batch.append(reinterpret_cast<const char *>(&length), LengthBytes);
    batch += frame;
}

Error linkError(int code, const std::string &address, const std::string &what)
{
    return makeError(Failure::Unavailable, Step::Connect, address,
                     fmt::format("{}: {}.", what, nng_strerror(code)));
}

} // namespace

struct Inbox::Private
{
    EventLoop &loop;
    Inbox *owner;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    event *readable = nullptr;
    std::uint64_t malformedFrames = 0;
    std::uint64_t bytes = 0;

    void drain()
    {
        for (int i = 0; i < MaxFramesPerTurn; ++i) {
            nng_msg *message = nullptr;
            if (nng_recvmsg(socket, &message, NNG_FLAG_NONBLOCK) != 0)
                return;
            accept(message);
            nng_msg_free(message);
        }
    }

    void accept(nng_msg *message)
    {
        std::string_view body(static_cast<const char *>(nng_msg_body(message)),
                              nng_msg_len(message));
        bytes += body.size();
        while (!body.empty()) {
            const bool whole =
                body.size() >= LengthBytes && body.size() - LengthBytes >= frameLength(body);
            const std::size_t length = whole ? frameLength(body) : body.size();
            const auto frame = whole ? body.substr(LengthBytes, length) : body;
            acceptFrame(frame);
            body.remove_prefix(whole ? LengthBytes + length : length);
        }
    }

    void acceptFrame(std::string_view bytesOfFrame)
    {
        auto frame = decodeFrame(bytesOfFrame, {});
        if (!frame) {
            ++malformedFrames;
            owner->malformed.emit(frame.error());
            return;
        }
        owner->received.emit(std::move(*frame));
    }
};

Inbox::Inbox(EventLoop &loop) : private_(std::make_unique<Private>(Private{loop, this})) {}

Inbox::~Inbox()
{
    if (private_->readable != nullptr)
        event_free(private_->readable);
    nng_close(private_->socket);
}

Result<std::string> Inbox::listen(const std::string &address)
{
    auto parsed = parseSocketAddress(address);
    if (!parsed)
        return tl::make_unexpected(parsed.error());
    auto &socket = private_->socket;
    if (const int rc = nng_pull0_open(&socket); rc != 0)
        return tl::make_unexpected(linkError(rc, address, "The inbox cannot be opened"));
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    const std::string url = "tcp://" + address;
    if (const int rc = nng_listen(socket, url.c_str(), &listener, 0); rc != 0)
        return tl::make_unexpected(linkError(rc, address, "The inbox cannot listen"));
    int port = 0;
    if (nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port) == 0)
        parsed->port = static_cast<std::uint16_t>(port);

    int descriptor = -1;
    if (const int rc = nng_socket_get_int(socket, NNG_OPT_RECVFD, &descriptor); rc != 0)
        return tl::make_unexpected(linkError(rc, address, "The inbox has no descriptor"));
    private_->readable = event_new(
        private_->loop.base(), descriptor, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *self) { static_cast<Private *>(self)->drain(); },
        private_.get());
    event_add(private_->readable, nullptr);
    return parsed->text();
}

std::uint64_t Inbox::malformedFrames() const
{
    return private_->malformedFrames;
}

std::uint64_t Inbox::bytesReceived() const
{
    return private_->bytes;
}

namespace {

/** What the threads of nng and the loop share; outlives the Outbox. */
struct OutboxShared
{
    EventLoop *loop = nullptr;
    std::atomic<int> pipes = 0;
    /** Only touched on the loop's thread; null once the Outbox is gone. */
    Outbox *owner = nullptr;
};

using SharedHandle = std::shared_ptr<OutboxShared>;

void notifyPipe(nng_pipe, nng_pipe_ev event, void *argument)
{
    const SharedHandle shared = *static_cast<SharedHandle *>(argument);
    const bool up = event == NNG_PIPE_EV_ADD_POST;
    shared->pipes += up ? 1 : -1;
    shared->loop->post([shared, up] {
        if (shared->owner != nullptr)
            shared->owner->connectionChanged.emit(up);
    });
}

} // namespace

struct Outbox::Private
{
    EventLoop &loop;
    std::string address;
    std::string batch;
    bool flushing = false;
    /** Retries a batch that found the queue full. */
    std::unique_ptr<Timer> retry;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    SharedHandle shared = std::make_shared<OutboxShared>();
    std::uint64_t bytes = 0;

    void flushSoon()
    {
        if (flushing)
            return;
        flushing = true;
        loop.post([this, token = std::weak_ptr<OutboxShared>(shared)] {
            const auto alive = token.lock();
            if (alive && alive->owner != nullptr)
                flush();
        });
    }

    void flush()
    {
        flushing = false;
        if (batch.empty())
            return;
        nng_msg *message = nullptr;
        if (nng_msg_alloc(&message, 0) != 0)
            return retry->startOnce(RetryDelay);
        nng_msg_append(message, batch.data(), batch.size());
        if (nng_sendmsg(socket, message, NNG_FLAG_NONBLOCK) != 0) {
            nng_msg_free(message);
            return retry->startOnce(RetryDelay);
        }
        bytes += batch.size();
        batch.clear();
    }
};

Outbox::Outbox(EventLoop &loop, std::string address)
    : private_(std::make_unique<Private>(Private{loop, std::move(address)}))
{
    private_->retry = std::make_unique<Timer>(loop, [self = private_.get()] { self->flush(); });
    private_->shared->loop = &loop;
    private_->shared->owner = this;
    auto &socket = private_->socket;
    if (nng_push0_open(&socket) != 0)
        return;
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, SendQueueMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, MinReconnectMs);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, MaxReconnectMs);
    nng_pipe_notify(socket, NNG_PIPE_EV_ADD_POST, notifyPipe, &private_->shared);
    nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, notifyPipe, &private_->shared);
    const std::string url = "tcp://" + private_->address;
    nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

Outbox::~Outbox()
{
    private_->shared->owner = nullptr;
    nng_close(private_->socket);
}

bool Outbox::connected() const
{
    return private_->shared->pipes > 0;
}

Result<void> Outbox::send(const Frame &frame)
{
    if (!connected()) {
        return fail(Failure::Unavailable, Step::Send, private_->address,
                    "There is no connection to the peer.");
    }
    const std::string bytes = encodeFrame(frame);
    if (bytes.size() > MaxFrameBytes) {
        return fail(Failure::TooLarge, Step::Send, private_->address,
                    fmt::format("A frame of {} bytes is over the limit of {}.", bytes.size(),
                                MaxFrameBytes));
    }
    if (private_->batch.size() >= BatchBytes)
        private_->flush();
    if (private_->batch.size() >= BatchBytes) {
        return fail(Failure::Overloaded, Step::Send, private_->address,
                    "The queue to the peer is full.");
    }
    appendFrame(private_->batch, bytes);
    private_->flushSoon();
    return {};
}

const std::string &Outbox::address() const
{
    return private_->address;
}

std::uint64_t Outbox::bytesSent() const
{
    return private_->bytes;
}

} // namespace Oleander
