#pragma once

#include "Routing/claimcommands.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace Oleander {

/** A claim and, once the request has finished, its recorded response. */
struct Claim
{
    std::uint64_t fingerprint = 0;
    std::string token;
    std::string entry;
    bool finished = false;
    RecordedResponse response;
    WallTime expiry{};
};

template<typename F>
void visitFields(F &&f, Fields<Claim> auto &&v)
{
    f(v.fingerprint);
    f(v.token);
    f(v.entry);
    f(v.finished);
    f(v.response);
    f(v.expiry);
}

/**
 * \class ClaimTable
 * \brief Claims of Idempotency-Keys; part of the replicated state.
 *
 * Applying the same commands in the same order gives the same table on every replica: the current
 * time is the highest time seen in the commands. A full table rejects new claims and never evicts
 * one before its expiry, because the request of an evicted claim could be executed twice.
 */
class ClaimTable
{
public:
    static constexpr std::size_t MaxClaims = 100'000;
    static constexpr std::size_t MaxTotalBytes = std::size_t(64) * 1024 * 1024;
    static constexpr std::size_t MaxResponseBytes = std::size_t(64) * 1024;
    static constexpr Duration MaxRetention = std::chrono::hours(24);

    ClaimBatchOutcome apply(const ClaimBatch &batch);
    ClaimOutcome apply(const ClaimRequest &command);
    ClaimOutcome apply(const FinishRequest &command);

    const Claim *find(const std::string &key) const;
    std::size_t size() const { return claims_.size(); }
    std::size_t totalBytes() const { return bytes_; }

    template<typename F>
    friend void visitFields(F &&f, Fields<ClaimTable> auto &&v)
    {
        f(v.claims_);
        f(v.expiries_);
        f(v.bytes_);
        f(v.now_);
    }

private:
    void advance(WallTime now);
    void remove(const std::string &key);

    std::map<std::string, Claim> claims_;
    std::set<std::pair<WallTime, std::string>> expiries_;
    std::uint64_t bytes_ = 0;
    WallTime now_{};
};

/** Removes headers, body and detail of a response above MaxResponseBytes; clears `complete`. */
RecordedResponse boundedResponse(RecordedResponse response);

} // namespace Oleander
