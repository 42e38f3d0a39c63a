#include "almondridge/routing/router.h"

namespace almondridge::routing {
namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;
constexpr std::string_view Whitespace = " \t\r\n\f\v";

std::uint64_t fnv1a(std::uint64_t hash, std::string_view text)
{
    for (const char letter : text) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= FnvPrime;
    }
    return hash;
}

/** Removes the next word from the front of text and returns it; empty at the end. */
std::string_view takeWord(std::string_view &text)
{
    const std::size_t begin = text.find_first_not_of(Whitespace);
    if (begin == std::string_view::npos) {
        text = {};
        return {};
    }
    text.remove_prefix(begin);
    const std::string_view word = text.substr(0, text.find_first_of(Whitespace));
    text.remove_prefix(word.size());
    return word;
}

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view text, std::size_t blockTokens)
{
    std::vector<std::uint64_t> hashes;
    if (blockTokens == 0) {
        return hashes;
    }
    std::uint64_t hash = FnvOffset;
    std::size_t words = 0;
    for (std::string_view word = takeWord(text); !word.empty(); word = takeWord(text)) {
        hash = fnv1a(hash, words == 0 ? "" : " ");
        hash = fnv1a(hash, word);
        ++words;
        if (words % blockTokens == 0) {
            hashes.push_back(hash);
        }
    }
    return hashes;
}

std::int64_t estimateTokens(std::string_view text) noexcept
{
    std::int64_t words = 0;
    while (!takeWord(text).empty()) {
        ++words;
    }
    return words;
}

} // namespace almondridge::routing
