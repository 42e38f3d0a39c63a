/**
 * Heads of answers that deviate from a valid one in one place each, as raw bytes, and heads that
 * are unusual but valid.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace almondridge::net::testing {

struct RawHead
{
    std::string name_;
    std::string bytes_;
};

inline std::string withStatusLine(const std::string &line)
{
    return line + "\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\n";
}

inline std::string withField(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" + line
           + "\r\nContent-Length: 2\r\n\r\n";
}

inline std::string withFraming(const std::string &lines)
{
    return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" + lines + "\r\n\r\n";
}

/** The body that follows each of the heads below. */
inline constexpr std::string_view HeadsBody = "ok";

/** Answers with these heads are no answers. */
inline std::vector<RawHead> brokenHeads()
{
    std::vector<RawHead> heads;
    for (const char *status : {"000", "001", "010", "099", "600", "666", "999", "101", "20", "2000",
                               "2x0", "-20", "+20", " 200", "", "0x1",
                               "\xb2"
                               "00"}) {
        heads.push_back({std::string("status ") + status,
                         withStatusLine(std::string("HTTP/1.1 ") + status + " OK")});
    }
    for (const char *version :
         {"HTTP/0.9", "HTTP/1.2", "HTTP/2.0", "HTTP/9.9", "http/1.1", "HTTP/1.10", "HTTP/11",
          "HTTP/-1.1", "HTTPS/1.1", "ICY", " HTTP/1.1"}) {
        heads.push_back(
            {std::string("version ") + version, withStatusLine(std::string(version) + " 200 OK")});
    }
    for (const char byte : {'\0', '\1', '\b', '\n', '\v', '\r', '\x1b', '\x7f'}) {
        const std::string hex = std::to_string(static_cast<int>(byte));
        heads.push_back({"reason with byte " + hex,
                         withStatusLine(std::string("HTTP/1.1 200 O") + byte + "K")});
        heads.push_back({"name with byte " + hex, withField(std::string("X-A") + byte + "B: v")});
        heads.push_back({"value with byte " + hex, withField(std::string("X-A: v") + byte + "w")});
    }
    for (const char byte : std::string_view(" \t\"(),/;<=>?@[\\]{}\x80\xff")) {
        heads.push_back(
            {std::string("name with ") + byte, withField(std::string("X-A") + byte + "B: v")});
        heads.push_back({std::string("name that begins with ") + byte,
                         "HTTP/1.1 200 OK\r\n" + std::string(1, byte)
                             + "X-A: v\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\n"});
        heads.push_back({std::string("name that ends with ") + byte,
                         withField(std::string("X-A") + byte + ": v")});
    }
    heads.push_back({"no name", withField(": v")});
    heads.push_back({"no colon", withField("X-A")});
    for (const char *length : {"", "-2", "+2", "2x", "x2", "0x2", "2 2", "2,3", "2.0", "2;2",
                               "18446744073709551616", "99999999999999999999999"}) {
        heads.push_back({std::string("length ") + length,
                         withFraming(std::string("Content-Length: ") + length)});
    }
    heads.push_back({"two lengths", withFraming("Content-Length: 2\r\nContent-Length: 3")});
    for (const char *coding : {"gzip", "identity", "chunked, gzip", "gzip, chunked", "xchunked",
                               "chunked, chunked", "chunked;q=1", ""}) {
        const std::string line = std::string("Transfer-Encoding: ") + coding;
        heads.push_back({"coding " + std::string(coding), withFraming(line)});
        heads.push_back({"coding " + std::string(coding) + " and a length",
                         withFraming(line + "\r\nContent-Length: 2")});
    }
    heads.push_back(
        {"chunked and a length", withFraming("Transfer-Encoding: chunked\r\nContent-Length: 2")});
    heads.push_back(
        {"a length and chunked", withFraming("Content-Length: 2\r\nTransfer-Encoding: chunked")});
    heads.push_back(
        {"chunked twice", withFraming("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")});
    heads.push_back(
        {"chunked and gzip", withFraming("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip")});
    heads.push_back(
        {"gzip and chunked", withFraming("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked")});
    heads.push_back({"chunked in HTTP/1.0",
                     "HTTP/1.0 200 OK\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked"
                     "\r\n\r\n"});
    heads.push_back({"chunked without content",
                     "HTTP/1.1 204 No Content\r\nX-Response-Signature: s\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"});
    heads.push_back({"two request ids",
                     withFraming("X-Request-Id: r1\r\nX-Request-Id: r2\r\nContent-Length: 2")});
    heads.push_back({"a broken interim answer",
                     "HTTP/1.1 100 Continue\r\nX A: v\r\n\r\n" + withField("X-A: v")});
    heads.push_back(
        {"a status 000 before an answer", "HTTP/1.1 000 OK\r\n\r\n" + withField("X-A: v")});
    return heads;
}

/** Answers with these heads are complete with HeadsBody, and have that status. */
struct ValidHead
{
    RawHead head_;
    int status_ = 200;
};

inline std::vector<ValidHead> validHeads()
{
    return {
        {{"plain", withField("X-A: v")}},
        {{"HTTP/1.0", withStatusLine("HTTP/1.0 200 OK")}},
        {{"no reason", withStatusLine("HTTP/1.1 200 ")}},
        {{"unknown status of a class", withStatusLine("HTTP/1.1 299 Odd")}, 299},
        {{"last status", withStatusLine("HTTP/1.1 599 Odd")}, 599},
        {{"all characters of a name", withField("!#$%&'*+-.^_`|~0aZ: v")}},
        {{"tab and bytes over 127 in a value", withField("X-A: a\tb\xc3\xa4\xff")}},
        {{"empty value", withField("X-A:")}},
        {{"interim answers",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
              + withField("X-A: v")}},
        {{"one length twice", withFraming("Content-Length: 2\r\nContent-Length: 2")}},
    };
}

} // namespace almondridge::net::testing
