/**
 * Texts of almost the right form, for tests of whatever reads what others wrote.
 */
#pragma once

#include <cstddef>
#include <random>
#include <string>
#include <string_view>

namespace almondridge::testing {

/** Changes, drops, doubles, cuts or inserts some bytes, one to four times. */
inline std::string mutateBytes(std::string text, std::mt19937 &random)
{
    constexpr std::string_view Odd = "{}[]\",:09-.e\\";
    for (std::size_t change = 1 + random() % 4; change > 0 && !text.empty(); --change) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), 1 + random() % 16));
            break;
        case 3:
            text.resize(at);
            break;
        default:
            text.insert(at, std::string(1 + random() % 40, Odd[random() % Odd.size()]));
            break;
        }
    }
    return text;
}

} // namespace almondridge::testing
