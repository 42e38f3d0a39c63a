/**
 * How the platform's store writes what it answers; shared by the stores that tests and the soak
 * play.
 */
#pragma once

#include <cstdint>
#include <openssl/evp.h>
#include <string>

namespace almondridge::storewire {

/** A parameter of a request's query; empty: there is none. */
inline std::string queryParameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
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
