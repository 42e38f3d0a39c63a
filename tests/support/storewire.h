/**
 * How the platform's store writes what it answers; shared by the stores that tests and the soak
 * play.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <openssl/evp.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace almondridge::storewire {

inline bool isUnreserved(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
           || (byte >= '0' && byte <= '9')
           || std::string_view("-._~").find(byte) != std::string_view::npos;
}

inline int hexDigit(char byte)
{
    constexpr std::string_view Upper = "0123456789ABCDEF";
    constexpr std::string_view Lower = "0123456789abcdef";
    const std::size_t at = std::min(Upper.find(byte), Lower.find(byte));
    return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

/**
 * Decodes a name or a value of a query; nullopt: it isn't one by RFC 3986. A plus is a blank, as in
 * forms.
 */
inline std::optional<std::string> decodedQueryText(std::string_view text)
{
    constexpr std::string_view AllowedAsIs = "!$'()*,;:@/?";
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char byte = text[at];
        if (byte == '%') {
            const int high = text.size() - at > 2 ? hexDigit(text[at + 1]) : -1;
            const int low = text.size() - at > 2 ? hexDigit(text[at + 2]) : -1;
            if (high < 0 || low < 0) {
                return std::nullopt;
            }
            bytes += static_cast<char>(high * 16 + low);
            at += 2;
        } else if (byte == '+') {
            bytes += ' ';
        } else if (isUnreserved(byte) || AllowedAsIs.find(byte) != std::string_view::npos) {
            bytes += byte;
        } else {
            return std::nullopt;
        }
    }
    return bytes;
}

using Query = std::map<std::string, std::string>;

/** The parameters of a request's target; nullopt: it has no valid query. */
inline std::optional<Query> queryOf(std::string_view target)
{
    Query query;
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        const auto name = decodedQueryText(pair.substr(0, equals));
        const auto value =
            decodedQueryText(equals == std::string_view::npos ? "" : pair.substr(equals + 1));
        if (!name || name->empty() || !value) {
            return std::nullopt;
        }
        query[*name] = *value;
    }
    return query;
}

/** The names of the parameters that calls of the store have. */
inline bool isStoreTarget(std::string_view target)
{
    static const std::set<std::string> Names {"topic",   "part",  "from",     "max-kb",
                                              "wait-ms", "after", "producer", "epoch",
                                              "seq",     "at",    "before",   "group"};
    const auto query = queryOf(target);
    return query && std::all_of(query->begin(), query->end(), [](const auto &pair) {
               return Names.contains(pair.first);
           });
}

/** A parameter of a request's query; empty: there is none. */
inline std::string queryParameter(std::string_view target, const std::string &name)
{
    const auto query = queryOf(target);
    const auto found = query ? query->find(name) : Query::const_iterator();
    return query && found != query->end() ? found->second : "";
}

/** A string of JSON whose bytes are written as they are, also those that are no UTF-8. */
inline std::string jsonString(std::string_view bytes)
{
    std::string text = "\"";
    for (const char byte : bytes) {
        const auto code = static_cast<unsigned char>(byte);
        if (code < ' ') {
            constexpr std::string_view Digits = "0123456789abcdef";
            text += std::string("\\u00") + Digits[code / 16] + Digits[code % 16];
            continue;
        }
        if (byte == '"' || byte == '\\') {
            text += '\\';
        }
        text += byte;
    }
    return text + '"';
}

inline std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

inline std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t index = 0; index < bytes; ++index) {
        text[bytes - 1 - index] = static_cast<char>(number >> (8U * index) & 0xffU);
    }
    return text;
}

inline std::string base64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

/** A record of a keyed topic: the length of the key, the key, the value. */
inline std::string keyedRecord(const std::string &key, const std::string &value)
{
    return static_cast<char>(key.size()) + key + value;
}

/** A record as a read returns it: its length and its bytes. */
inline std::string framedRecord(const std::string &record)
{
    constexpr std::size_t LengthBytes = 4;
    return bigEndian(record.size(), LengthBytes) + record;
}

/** What stands before the records of a read. */
inline std::string readHeader(std::uint64_t end, std::uint64_t first)
{
    constexpr std::size_t OffsetBytes = 8;
    return bigEndian(end, OffsetBytes) + bigEndian(first, OffsetBytes);
}

} // namespace almondridge::storewire
