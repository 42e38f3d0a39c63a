/**
 * HTTP types shared by client and server.
 */
#pragma once

#include "almondridge/base/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::net {

/** An IPv4 address and a port. Host names are not supported. */
struct Address
{
    std::string ip_;
    std::uint16_t port_ = 0;

    friend bool operator==(const Address &, const Address &) = default;
};

/** Parses "127.0.0.1:8080". Fails with InvalidInput unless it is an IPv4 address and a port. */
Result<Address> parseAddress(std::string_view text);

/** "ip:port". */
std::string toString(const Address &address);

struct Header
{
    std::string name_;
    std::string value_;
};

using Headers = std::vector<Header>;

/** Compares two strings case-insensitively, as header names are compared. */
bool equalWithoutCase(std::string_view left, std::string_view right) noexcept;

/** Value of the first header with this case-insensitive name; empty if there is none. */
std::string_view headerValue(const Headers &headers, std::string_view name) noexcept;

/**
 * Percent-encodes all but the unreserved characters of RFC 3986, so that any bytes can be a part of
 * a path or a value in a query.
 */
std::string percentEncoded(std::string_view bytes);
/** Whether the text consists of unreserved characters of RFC 3986 alone; it isn't empty. */
bool isUnreserved(std::string_view text) noexcept;

/** An outgoing request. Content-Length and Host are added when it is sent. */
struct Request
{
    std::string method_ = "GET";
    std::string path_ = "/"; ///< Path and query, percent-encoded.
    Headers headers_ {};
    std::string body_ {};
};

/** A complete response. */
struct Response
{
    int status_ = 0;
    Headers headers_ {};
    std::string body_ {};
};

} // namespace almondridge::net
