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
 * \brief Remembers the first answer to each idempotency key of each operator.
 *
 * The oldest answers are forgotten first. Keys of different operators never meet.
 */
class IdempotencyTable
{
public:
    /**
     * Returns the first answer to \a origin's key; an answer of ChangeResult::KeyReused when the
     * key belongs to another \a command; nothing when the key is new or empty.
     */
    std::optional<ChangeOutcome> find(const Origin &origin, std::string_view command) const;
    void insert(const Origin &origin, std::string_view command, const ChangeOutcome &outcome);
    /** Remembers at most \a maxChanges answers about single records from now on. */
    void setMaxChanges(std::size_t maxChanges);
    std::size_t size() const { return answers_.size(); }

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
    using Key = std::pair<std::string, std::string>;

    void evictOldest();

    std::uint64_t maxChanges_ = AnswersKept.fallback;
    std::uint64_t changeCount_ = 0;
    std::uint64_t nextSequence_ = 1;
    std::map<Key, Answer> answers_;
    std::map<std::uint64_t, Key> keysBySequence_;
};

} // namespace Oleander::Records
