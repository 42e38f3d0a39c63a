/**
 * A request or answer between entry instances, as sent in an HTTP/2 stream.
 */
#pragma once

#include <string>

namespace almondridge::peers {

/** The header fields defined in docs/PROTOCOLS.md, and the body. Other fields are ignored. */
struct H2Message
{
    std::string method_ {};    ///< Requests only.
    std::string path_ {};      ///< Requests only.
    std::string authority_ {}; ///< Requests only: the destination address.
    int status_ = 0;           ///< Answers only.
    std::string instance_ {};
    std::string domain_ {};
    std::string time_ {};  ///< Wall clock, milliseconds since the Unix epoch.
    std::string clock_ {}; ///< Sender's hybrid logical clock, "millis.counter".
    std::string nonce_ {}; ///< Requests only.
    std::string proof_ {};
    std::string body_ {}; ///< CBOR.
};

} // namespace almondridge::peers
