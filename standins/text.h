/**
 * The text that an engine stand-in says: a function of the prompt alone, so that a checker knows
 * every token without asking, and so that an answer continued elsewhere from prompt and
 * delivered words is the same answer. docs/PROTOCOLS.md defines it.
 */
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::standins {

/** Tokens in one block of a prefix cache: a prefix hash stands for every 16 words. */
inline constexpr std::size_t PrefixBlockTokens = 16;
/** Tokens of an answer whose request names no max_tokens. */
inline constexpr std::int64_t DefaultMaxTokens = 16;

/** 64-bit FNV-1a over words joined by one space. */
class TextHash
{
public:
    void addWord(std::string_view word) noexcept
    {
        if (words_ > 0) {
            addByte(' ');
        }
        for (const char letter : word) {
            addByte(static_cast<unsigned char>(letter));
        }
        ++words_;
    }

    std::uint64_t value() const noexcept { return value_; }
    std::size_t words() const noexcept { return words_; }

private:
    static constexpr std::uint64_t OffsetBasis = 0xcbf29ce484222325;
    static constexpr std::uint64_t Prime = 0x100000001b3;

    void addByte(unsigned char byte) noexcept
    {
        value_ ^= byte;
        value_ *= Prime;
    }

    std::uint64_t value_ = OffsetBasis;
    std::size_t words_ = 0;
};

/** Says the words after a prompt, one by one. */
class AnswerText
{
public:
    explicit AnswerText(TextHash prompt) noexcept
        : hash_(prompt)
    { }

    /** The next word, without the space before it. */
    std::string next()
    {
        constexpr std::uint64_t Vocabulary = 9'973;
        std::string word = "w" + std::to_string(hash_.value() % Vocabulary);
        hash_.addWord(word);
        return word;
    }

    void skip(std::int64_t words)
    {
        for (std::int64_t word = 0; word < words; ++word) {
            next();
        }
    }

private:
    TextHash hash_;
};

/** Calls function with each word of text: what stands between white space. */
template <typename Function>
void forEachWord(std::string_view text, Function &&function)
{
    constexpr std::string_view WhiteSpace = " \t\r\n";
    std::size_t begin = text.find_first_not_of(WhiteSpace);
    while (begin != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(WhiteSpace, begin), text.size());
        function(text.substr(begin, end - begin));
        begin = text.find_first_not_of(WhiteSpace, end);
    }
}

/** What an engine needs to know of a prompt. */
struct PromptDigest
{
    TextHash hash_;
    std::vector<std::uint64_t> prefixHashes_; ///< Of the first 16, 32, 48, ... words.
};

inline PromptDigest digestPrompt(std::string_view prompt)
{
    PromptDigest digest;
    forEachWord(prompt, [&](std::string_view word) {
        digest.hash_.addWord(word);
        if (digest.hash_.words() % PrefixBlockTokens == 0) {
            digest.prefixHashes_.push_back(digest.hash_.value());
        }
    });
    return digest;
}

} // namespace almondridge::standins
