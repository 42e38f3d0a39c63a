/**
 * The words of HTTP that client and server share.
 */
#pragma once

#include "almondridge/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::net {

/** An IP number and a port. Names are never looked up. */
struct Address
{
    std::string ip_;
    std::uint16_t port_ = 0;

    friend bool operator==(const Address &, const Address &) = default;
};

/** Reads "127.0.0.1:8080". InvalidInput when it is not an IPv4 number and a port. */
Result<Address> parseAddress(std::string_view text);

/** "ip:port". */
std::string toString(const Address &address);

struct Header
{
    std::string name_;
    std::string value_;
};

using Headers = std::vector<Header>;

/** Whether two names are equal but for the case of their letters, as names of headers are. */
bool equalWithoutCase(std::string_view left, std::string_view right) noexcept;

/** The value of the first header called name, compared without case; empty when there is none. */
std::string_view headerValue(const Headers &headers, std::string_view name) noexcept;

/** A request on its way out. Content-Length and Host are added when it is sent. */
struct Request
{
    std::string method_ = "GET";
    std::string path_ = "/"; ///< With the query, percent-encoded.
    Headers headers_ {};
    std::string body_ {};
};

/** A whole answer. */
struct Response
{
    int status_ = 0;
    Headers headers_ {};
    std::string body_ {};
};

} // namespace almondridge::net
