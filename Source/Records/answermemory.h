#pragma once

#include "Records/change.h"
#include "Records/knownvalues.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Oleander::Records {

/**
 * \class AnswerMemory
 * \brief Remembers the first answer to each idempotency key of each operator.
 *
 * The oldest answers are forgotten first. Keys of different operators never meet.
 */
class AnswerMemory
{
public:
    /**
     * Returns the first answer to \a origin's key; an answer of ChangeResult::KeyReused when the
     * key belongs to another \a command; nothing when the key is new or empty.
     */
    std::optional<ChangeOutcome> find(const Origin &origin, std::string_view command) const;
    void remember(const Origin &origin, std::string_view command, const ChangeOutcome &outcome);
    /** Remembers at most \a kept answers about single records from now on. */
    void setKept(std::size_t kept);
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
    friend void visitFields(F &&f, Fields<AnswerMemory> auto &&v)
    {
        f(v.kept_);
        f(v.held_);
        f(v.next_);
        f(v.answers_);
        f(v.order_);
    }

private:
    using Key = std::pair<std::string, std::string>;

    void forget();

    std::uint64_t kept_ = AnswersKept.fallback;
    std::uint64_t held_ = 0;
    std::uint64_t next_ = 1;
    std::map<Key, Answer> answers_;
    std::map<std::uint64_t, Key> order_;
};

} // namespace Oleander::Records
