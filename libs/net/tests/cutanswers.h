/**
 * Whole answers, of which a server in trouble sends a part. None of them ends with its connection.
 */
#pragma once

#include <string>
#include <vector>

namespace almondridge::net::testing {

struct WholeAnswer
{
    std::string name_;
    std::string bytes_;
};

inline const std::string CutBody = "answer";

/** type: a line of the head. */
inline std::vector<WholeAnswer> wholeAnswers(const std::string &type)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + type + "X-Response-Signature: s\r\nX-Request-Id: r1\r\n";
    const std::string length = head + "Content-Length: 6\r\n\r\n" + CutBody;
    const std::string chunks =
        head + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nans\r\n3\r\nwer\r\n0\r\n";
    return {
        {"a length", length},
        {"a length, the head's line last",
         "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + type
             + "X-Response-Signature: s\r\nX-Request-Id: r1\r\n\r\n" + CutBody},
        {"an interim answer before", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + length},
        {"chunks", chunks + "\r\n"},
        {"trailers", chunks + "X-Sum: 1\r\nX-More: 2\r\n\r\n"},
    };
}

} // namespace almondridge::net::testing
