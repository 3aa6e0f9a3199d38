#pragma once

#include "Records/change.h"
#include "Records/systemvalues.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Oleander::Records {

/**
 * \class IdempotencyTable
 * \brief Stores the answer to the first command with each idempotency key, per operator.
 *
 * The oldest answers are evicted first. Two operators may use the same key independently.
 */
class IdempotencyTable
{
public:
    /**
     * Returns the stored answer for the key of \a origin, an answer with ChangeResult::KeyReused if
     * the key was used with a different \a command, or nothing if the key is new or empty.
     */
    std::optional<ChangeOutcome> find(const Origin &origin, std::string_view command) const;
    /** Stores \a outcome for the key of \a origin, unless the key is empty or already stored. */
    void insert(const Origin &origin, std::string_view command, const ChangeOutcome &outcome);
    /** Limits the number of single-record answers, and evicts the oldest ones above it. */
    void setMaxChanges(std::size_t maxChanges);
    /** Number of commands with a stored answer. */
    std::size_t size() const { return answers_.size(); }

    /** The stored answer to one command. */
    struct Answer
    {
        std::uint64_t commandHash = 0;
        std::uint64_t sequence = 0;
        ChangeOutcome outcome;

        template<typename F>
        friend void visitFields(F &&f, Fields<Answer> auto &&v)
        {
            f(v.commandHash);
            f(v.sequence);
            f(v.outcome);
        }
    };

    template<typename F>
    friend void visitFields(F &&f, Fields<IdempotencyTable> auto &&v)
    {
        f(v.maxChanges_);
        f(v.changeCount_);
        f(v.nextSequence_);
        f(v.answers_);
        f(v.keysBySequence_);
    }

private:
    /** Author and idempotency key. */
    using Key = std::pair<std::string, std::string>;

    void evictOldest();

    std::uint64_t maxChanges_ = AnswersKept.fallback;
    /** Total number of single-record answers in all stored answers. */
    std::uint64_t changeCount_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::map<Key, Answer> answers_;
    std::map<std::uint64_t, Key> keysBySequence_;
};

} // namespace Oleander::Records
