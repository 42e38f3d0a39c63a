#include "jsonfields.h"

namespace almondridge::control {
namespace {

constexpr const char *HexField = "hex";
/** Records nest at most six levels deep; the rest is reserved for future fields. */
constexpr int MaxDepth = 16;

bool isUtf8(const std::string &bytes)
{
    try {
        (void) Json(bytes).dump();
        return true;
    } catch (const Json::type_error &) {
        return false;
    }
}

std::string toHex(const std::string &bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * bytes.size());
    for (const char letter : bytes) {
        const auto byte = static_cast<unsigned char>(letter);
        hex += Digits[byte >> 4U];
        hex += Digits[byte & 15U];
    }
    return hex;
}

/** The value of a lower-case hex digit, or -1. */
int hexDigit(char letter)
{
    if (letter >= '0' && letter <= '9') {
        return letter - '0';
    }
    return letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : -1;
}

bool fromHex(const std::string &hex, std::string &bytes)
{
    bytes.clear();
    for (std::size_t index = 0; index + 1 < hex.size(); index += 2) {
        const int high = hexDigit(hex[index]);
        const int low = hexDigit(hex[index + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        bytes += static_cast<char>(16 * high + low);
    }
    return hex.size() % 2 == 0;
}

/**
 * Whether brackets outside of strings nest deeper than MaxDepth. Serialising JSON is recursive, so
 * a body of a hundred thousand brackets would overflow the stack if it were parsed.
 */
bool nestsTooDeep(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char letter = text[index];
        if (inString) {
            index += letter == '\\' ? 1 : 0;
            inString = letter != '"';
        } else if (letter == '"') {
            inString = true;
        } else if (letter == '{' || letter == '[') {
            ++depth;
        } else if (letter == '}' || letter == ']') {
            --depth;
        }
        if (depth > MaxDepth) {
            return true;
        }
    }
    return false;
}

} // namespace

Json JsonValue<std::string>::write(const std::string &value)
{
    return isUtf8(value) ? Json(value) : Json {{HexField, toHex(value)}};
}

bool JsonValue<std::string>::read(const Json &json, std::string &value)
{
    if (json.is_string()) {
        value = json.get_ref<const std::string &>();
        return true;
    }
    return json.is_object() && json.contains(HexField) && json[HexField].is_string()
           && fromHex(json[HexField].get_ref<const std::string &>(), value);
}

Json parseBounded(std::string_view text)
{
    if (nestsTooDeep(text)) {
        return Json(Json::value_t::discarded);
    }
    return Json::parse(text, nullptr, false);
}

} // namespace almondridge::control
