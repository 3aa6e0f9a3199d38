#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Oleander::Testing {

/**
 * \class Mutator
 * \brief Draws numbers and altered copies of valid input; a seed gives the same on every machine.
 */
class Mutator
{
public:
    /** \a fragments are inserted into the altered copies. */
    explicit Mutator(std::uint64_t seed, std::vector<std::string> fragments = {})
        : engine_(seed), fragments_(std::move(fragments))
    {}

    /** Returns a number below \a limit. */
    std::uint64_t draw(std::uint64_t limit) { return engine_() % limit; }
    /** Returns a number of up to 64 bits; small and large ones are equally likely. */
    std::uint64_t drawNumber()
    {
        constexpr std::uint64_t NumberBits = 64;
        return engine_() >> draw(NumberBits);
    }
    /** Returns \a text with one to four changes; it may be the same. */
    std::string alter(std::string text)
    {
        constexpr std::uint64_t MaxChanges = 4;
        for (auto left = draw(MaxChanges) + 1; left > 0; --left)
            change(text);
        return text;
    }

private:
    void change(std::string &text)
    {
        constexpr std::size_t MaxLength = 8;
        constexpr std::uint64_t ByteValues = 256;
        constexpr std::uint64_t KindsOfChange = 5;
        const std::size_t at = draw(text.size() + 1);
        const std::size_t length = std::min<std::size_t>(draw(MaxLength), text.size() - at);
        switch (draw(KindsOfChange)) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, fragments_.empty() ? std::string(length, '\xff')
                                               : fragments_[draw(fragments_.size())]);
            break;
        case 2:
            if (at < text.size())
                text[at] = static_cast<char>(draw(ByteValues));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            text.insert(at, text.substr(at / 2, length));
        }
    }

    std::mt19937_64 engine_;
    std::vector<std::string> fragments_;
};

/** Fragments that often break readers of JSON. */
inline const std::vector<std::string> &jsonFragments()
{
    static const std::vector<std::string> Fragments = {"{",
                                                       "}",
                                                       "[",
                                                       "]",
                                                       "\"",
                                                       ":",
                                                       ",",
                                                       "null",
                                                       "true",
                                                       "-1",
                                                       "1e99",
                                                       "0.5",
                                                       "18446744073709551616",
                                                       "4294967297",
                                                       "\\u0000",
                                                       "\\ud800",
                                                       "\xff",
                                                       "\xc3",
                                                       std::string(1, '\0'),
                                                       "[[[[[[[[",
                                                       "\"a\":{\"b\":{\"c\":{\"d\":{}}}},",
                                                       "NaN"};
    return Fragments;
}

} // namespace Oleander::Testing
